/**
 * Guards against requests that a box takes during a planned stop and cuts without an answer at the end of its grace:
 * late ones whose work doesn't fit into the rest of it, and earlier ones that had to wait before they were sent.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { connect } from "node:net";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { sendRequest } from "../src/standins/client.js";
import {
    pause,
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";

describe("a box that is stopped as planned [P7]", () => {
    let deployment: TestDeployment;
    let box: TestBox;
    let server: ServerStandIn;

    afterEach(() => deployment.close());

    async function start(grace: string): Promise<void> {
        deployment = await startTestDeployment({ bounds: [`grace=${grace}`] });
        server = await deployment.addServer({ id: "i-1" });
        deployment.configure(2, [
            { name: "save", path: "/save/", kind: "unsafe", timeout: "60s" },
            { name: "lookup", path: "/lookup/", kind: "safe", timeout: "60s" },
        ]);
        box = deployment.startBox();
        await waitUntil(() => box.running.isReady(), "the box is ready");
    }

    const ask = (path: string, deadlineMs: number) =>
        sendRequest({ address: box.callerAddress, host: testHost, path, method: "POST", requestId: "r-1", deadlineMs });

    it("refuses late requests that may outlast it, and says that they have not run", async () => {
        await start("8s");
        server.setWork(5500);
        const stopped = box.running.stop();
        await pause(milliseconds(2800));
        const answer = await ask("/save/", 20_000);
        expect(answer.status).to.equal(503);
        expect(answer.headers["retry-after"]).to.equal("0.15");
        await stopped;
        expect(server.runs).to.deep.equal([]);
    });

    it("serves late requests that end before it does, whatever the server does", async () => {
        await start("4s");
        void box.running.stop();
        const inFlight = ask("/lookup/", 3500);
        server.setWork(1800);
        await waitUntil(() => server.runs.length === 1, "a request keeps the box from exiting");
        await pause(milliseconds(1650));
        server.setWork(0);
        expect((await ask("/save/", 1000)).status).to.equal(200);
        expect((await inFlight).status).to.equal(200);
    });

    it("takes no request once it only waits for its callers to read the last answers", async () => {
        await start("4s");
        const stopped = box.running.stop();
        await waitUntil(
            () => box.logLines.some(line => line.includes("event=stop.drained")),
            "no request is left",
        );
        server.setWork(600);
        expect((await ask("/lookup/", 1000)).status).to.equal(503);
        await stopped;
        expect(server.runs).to.deep.equal([]);
    });

    it("refuses requests whose bodies arrive so late that they may outlast it", async () => {
        await start("2s");
        const [host, port] = box.callerAddress.split(":");
        const socket = connect(Number(port), host);
        let received = "";
        socket.on("data", chunk => {
            received += chunk.toString();
        });
        socket.write(
            `POST /save/ HTTP/1.1\r\nHost: ${testHost}\r\nRequest-Id: r-1\r\nDeadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbo`,
        );
        await pause(milliseconds(100));
        void box.running.stop();
        await pause(milliseconds(1200));
        server.setWork(5000);
        socket.write("dy");
        await waitUntil(() => received !== "", "the request is answered");
        expect(received).to.match(/^HTTP\/1.1 503 /);
        expect(server.runs).to.deep.equal([]);
        socket.destroy();
    });
});
