/**
 * Servers that run a request and then answer with a status that guarantees that it has not run, without Not-Run. Guards
 * against boxes that pass such a guarantee on, or that send the request to another server.
 */

import { expect } from "chai";
import { type FaultProxy, startFaultProxy } from "../src/soak/fault-proxy.js";
import { addAnswerCutRule } from "../src/standins/answer-cuts.js";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import {
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";
import { partition } from "../src/standins/partition.js";
import { serverObject } from "../src/standins/platform-objects.js";

const guaranteeStatuses = [408, 421, 429, 503] as const;
const maxAttempts = 2;
const requestsInCut = 12;
const cutBoxHost = "127.0.0.40";
const boxHosts = [cutBoxHost, "127.0.0.41", "127.0.0.42"];
const zones = ["north-a", "north-b", "south-a"];

describe("an answer that guarantees that a request has not run, from servers that ran it", () => {
    let deployment: TestDeployment;
    let boxes: readonly TestBox[];
    let servers: readonly ServerStandIn[];
    let proxies: readonly FaultProxy[];

    beforeEach(async () => {
        deployment = await startTestDeployment();
        servers = await Promise.all(["i-1", "i-2", "i-3"].map(id => deployment.addServer({ id })));
        proxies = await Promise.all(servers.map(server => startFaultProxy(server.address())));
        servers.forEach((server, index) => {
            deployment.store.put(
                "servers",
                server.id,
                serverObject(proxies[index].address(), { zone: zones[index] }),
            );
        });
        deployment.configure(2, [
            { name: "save", path: "/save/", kind: "unsafe" },
            { name: "lookup", path: "/lookup/", kind: "safe" },
        ]);
        boxes = await deployment.startBoxes(zones, boxHosts);
    });

    afterEach(async () => {
        await deployment.close();
        proxies.forEach(proxy => proxy.close());
    });

    const answerWith = (status: number, retryAfter?: string) =>
        servers.forEach(server => server.setBehaviour(() => ({ kind: "fail", status, retryAfter })));
    const runCount = (requestId: string) =>
        servers.flatMap(({ runs }) => runs).filter(run => run.requestId === requestId).length;
    const send = (path: string, requestId: string): Promise<ClientAnswer> =>
        sendRequest({
            address: boxes[0].callerAddress,
            host: testHost,
            path,
            method: path === "/save/" ? "POST" : "GET",
            body: path === "/save/" ? "b" : undefined,
            requestId,
            deadlineMs: 2000,
        });
    const expectNoGuarantee = ({ headers, status }: ClientAnswer) => {
        expect(status).to.equal(502);
        // A stamp beside a status that its server did not give would name the wrong author.
        expect(headers["server-stamp"]).to.equal(undefined);
        expect(headers["retry-after"]).to.equal(undefined);
    };

    for (const status of guaranteeStatuses) {
        it(`is not passed on to the caller of an unsafe request, which runs once (${status}) [P4] [P5]`, async () => {
            answerWith(status);
            const answer = await send("/save/", "unsafe");
            expect(runCount("unsafe")).to.equal(1);
            expectNoGuarantee(answer);
        });

        it(`is not passed on to the caller of an idempotent request after its last attempt (${status}) [P4]`, async () => {
            answerWith(status);
            const answer = await send("/lookup/", "idempotent");
            expect(runCount("idempotent")).to.equal(maxAttempts);
            expectNoGuarantee(answer);
        });

        it(`is not passed on by a box that sent the request through another one (${status}) [P4] [P5]`, async () => {
            const endPartition = partition([cutBoxHost], proxies, "reset");
            try {
                await waitUntil(async () => (await send("/lookup/", "warm-up")).status === 200, "others forward");
                answerWith(status);
                const answer = await send("/save/", "forwarded");
                expect(runCount("forwarded")).to.equal(1);
                expectNoGuarantee(answer);
            }
            finally {
                endPartition();
            }
        });
    }

    it("is not given by a box that hears nothing from the box which sends for it [P4] [P5]", async () => {
        const endPartition = partition([cutBoxHost], proxies, "reset");
        const others = new Set(boxes.slice(1).map(box => box.peerAddress));
        try {
            await waitUntil(async () => (await send("/lookup/", "warm-up")).status === 200, "others forward");
            const endCut = addAnswerCutRule((local, remote) =>
                others.has(local) && remote.startsWith(`${cutBoxHost}:`)
            );
            const ids = Array.from({ length: requestsInCut }, (_, index) => `unheard-${index}`);
            const answers = await Promise.all(ids.map(id => send("/save/", id)));
            endCut();
            const runs = ids.map(runCount);
            expect(runs.filter(count => count > 0)).to.not.deep.equal([]);
            expect(runs.filter(count => count > 1)).to.deep.equal([]);
            const guarantees = ids.filter((_, index) =>
                guaranteeStatuses.some(status => status === answers[index].status)
            );
            expect(guarantees.filter(id => runCount(id) > 0)).to.deep.equal([]);
            expect(answers.filter(({ status }) => status === 200)).to.deep.equal([]);
        }
        finally {
            endPartition();
        }
    });

    for (const status of [429, 503] as const) {
        it(`is not passed on with the back-off that it asks for (${status}) [P4]`, async () => {
            answerWith(status, "1");
            const answer = await send("/save/", "back-off");
            expect(runCount("back-off")).to.equal(1);
            expectNoGuarantee(answer);
        });
    }
});
