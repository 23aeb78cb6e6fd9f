/**
 * One box and callers who send much at once, or what is no proper request.
 */

import { createSeededRandom } from "@chalkdale/kernel";
import { expect } from "chai";
import { connect } from "node:net";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientRequest, sendRequest } from "../src/standins/client.js";
import {
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";

describe("a box and its callers", () => {
    let deployment: TestDeployment;
    let box: TestBox;
    let servers: readonly ServerStandIn[];

    beforeEach(async () => {
        deployment = await startTestDeployment();
        servers = [
            await deployment.addServer({ id: "i-1", queue: 500 }),
            await deployment.addServer({ id: "i-2", queue: 500 }),
        ];
        deployment.configure(2, [
            { name: "lookup", path: "/lookup/", kind: "safe", timeout: "20s" },
            { name: "save", path: "/save/", kind: "unsafe", timeout: "20s" },
        ]);
        box = deployment.startBox();
        await waitUntil(() => box.running.isReady(), "the box is ready");
    });

    afterEach(() => deployment.close());

    const ask = (requestId: string, options: Partial<ClientRequest> = {}) =>
        sendRequest({ address: box.callerAddress, host: testHost, path: "/lookup/", requestId, ...options });
    const runs = () => servers.flatMap(server => server.runs);

    describe("many requests at once [P3] [P5]", () => {
        it("get each its own answer, though servers answer out of order, and run once each", async () => {
            const random = createSeededRandom(11);
            servers.forEach(server => server.setWork(3));
            const ids = Array.from({ length: 150 }, (_, index) => `many-${index}`);
            const answers = await Promise.all(
                ids.map(id =>
                    ask(id, { path: "/save/", method: "POST", body: id, affinityKey: `k-${Math.floor(random() * 40)}` })
                ),
            );
            answers.forEach((answer, index) => {
                if (answer.status === 200) {
                    expect(answer.body).to.match(new RegExp(` to ${ids[index]}$`));
                    expect(answer.headers["server-stamp"]).to.equal(`stamp.${ids[index]}`);
                }
            });
            expect(answers.filter(answer => answer.status === 200).length).to.be.greaterThan(75);
            expect(new Set(runs().map(run => run.requestId)).size).to.equal(runs().length);
        });
    });

    describe("a body that is larger than the configuration allows [P4]", () => {
        it("is refused, and the request reaches no server", async () => {
            const answer = await ask("large", { path: "/save/", method: "POST", body: "x".repeat(1_000_001) });
            expect(answer.status).to.be.oneOf([413, 0]);
            expect(runs()).to.deep.equal([]);
        });

        it("is refused when it comes in chunks", async () => {
            const body = "x".repeat(1_000_001);
            const answer = await ask("chunks", { path: "/save/", method: "POST", body, chunked: true });
            expect(answer.status).to.be.oneOf([413, 0]);
            expect(runs()).to.deep.equal([]);
        });
    });

    describe("a request that is refused before a server is chosen", () => {
        const lineOf = (id: string) => box.logLines.findLast(line => line.includes(`request=${id} `));

        it("leaves a line with its id and the reason when its body is too large", async () => {
            await ask("large", { path: "/save/", method: "POST", body: "x".repeat(1_000_001) });
            expect(lineOf("large")).to.include("event=request.refused").and.include("refusal=bodyTooLarge");
        });

        it("leaves one when there is no route", async () => {
            await ask("nowhere", { path: "/nowhere/" });
            expect(lineOf("nowhere")).to.include("event=request.noRoute").and.include("version=2");
        });

        it("leaves one when the box knows no configuration yet", async () => {
            deployment.storeServer.setFault(() => ({ kind: "refused", status: 503 }));
            box = deployment.startBox();
            await waitUntil(async () => (await ask("early")).status === 503, "the box refuses");
            expect(lineOf("early")).to.include("event=request.refused").and.include("refusal=notReady");
        });
    });

    describe("bytes that are no proper request [P9]", () => {
        it("get 400 and reach no server", async () => {
            for (
                const bytes of ["no request\r\n\r\n", `GET /lookup/ HTTP/1.1\r\nHost: ${testHost}\r\nbroken\r\n\r\n`]
            ) {
                expect(await sendBytes(bytes)).to.match(/^HTTP\/1\.1 400 /);
            }
            expect(runs()).to.deep.equal([]);
        });

        it("hide no second request behind a length and chunks", async () => {
            const hidden = `GET /lookup/hidden HTTP/1.1\r\nHost: ${testHost}\r\nRequest-Id: hidden\r\n\r\n`;
            const head = `POST /save/ HTTP/1.1\r\nHost: ${testHost}\r\nRequest-Id: outer\r\n`;
            await sendBytes(
                `${head}Content-Length: ${hidden.length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`,
            );
            await sendBytes(`${head}Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc${hidden}`);
            expect(runs().filter(run => run.requestId === "hidden")).to.deep.equal([]);
        });

        it("do no harm when they are drawn at random", async () => {
            const random = createSeededRandom(5);
            const whole = `POST /save/ HTTP/1.1\r\nHost: ${testHost}\r\nContent-Length: 4\r\n\r\nbody`;
            for (let round = 0; round < 60; round++) {
                const bytes = Buffer.from(whole);
                for (let change = 0; change < 4; change++) {
                    bytes[Math.floor(random() * bytes.length)] = Math.floor(random() * 256);
                }
                await sendBytes(bytes);
            }
            expect((await ask("after")).status).to.equal(200);
        });
    });

    /** Sends bytes on a connection of their own, ends it, and returns what came back. */
    function sendBytes(bytes: string | Buffer): Promise<string> {
        const [host, port] = box.callerAddress.split(":");
        return new Promise(resolve => {
            const socket = connect({ host, port: Number(port) });
            let text = "";
            socket.on("data", chunk => {
                text += String(chunk);
            });
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(text));
            socket.end(bytes);
        });
    }
});
