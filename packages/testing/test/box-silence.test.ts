/**
 * Connections that rested fell silent without an end, all of a server at once. Each
 * request that took one of them waited for its whole limit: the record of a run has
 * `request.refused … refusal=timedOut sent=1 after=1101` for two requests in a row at
 * `i-f167dfd5` and at `i-dd9da7eb`, while both servers served on new connections.
 */

import { expect } from "chai";
import { type FaultProxy, startFaultProxy } from "../src/soak/fault-proxy.js";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import {
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";
import { serverObject } from "../src/standins/platform-objects.js";

describe("connections to a server that fall silent for good", () => {
    let deployment: TestDeployment;
    let box: TestBox;
    let server: ServerStandIn;
    let link: FaultProxy;
    let requests: number;

    beforeEach(async () => {
        requests = 0;
        deployment = await startTestDeployment();
        server = await deployment.addServer({ id: "i-1" });
        link = await startFaultProxy(server.address());
        deployment.store.put("servers", "i-1", serverObject(link.address(), {}));
        deployment.configure(2, [
            { name: "lookup", path: "/lookup/", kind: "safe", maxAttempts: 1 },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        box = deployment.startBox();
        await waitUntil(() => box.running.isReady(), "the box is ready");
    });

    afterEach(async () => {
        link.close();
        await deployment.close();
    });

    function ask(path = "/lookup/"): Promise<ClientAnswer> {
        requests += 1;
        return sendRequest({ address: box.callerAddress, host: testHost, path, requestId: `r-${requests}` });
    }

    it("cost one request its answer, and not each of those that follow", async () => {
        server.setWork(40);
        for (let round = 0; round < 5; round++) {
            await Promise.all([ask(), ask(), ask(), ask()]);
        }
        expect(server.connections()).to.be.at.least(4);
        link.blackholeOpenConnections();
        const statuses: number[] = [];
        for (let index = 0; index < 4; index++) {
            statuses.push((await ask()).status);
        }
        expect(statuses).to.deep.equal([504, 200, 200, 200]);
    });
});
