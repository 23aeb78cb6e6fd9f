/**
 * One box and a server that starts again under its id, and entries of another writer,
 * over real sockets.
 */

import { expect } from "chai";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { sendRequest } from "../src/standins/client.js";
import {
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";
import { serverObject, type ServerRecordOptions } from "../src/standins/platform-objects.js";

const firstBirth = 1_700_000_000_000;

describe("a box and the lives of a server", () => {
    let deployment: TestDeployment;
    let box: TestBox;
    let first: ServerStandIn;
    let second: ServerStandIn;
    let requests: number;

    beforeEach(async () => {
        requests = 0;
        deployment = await startTestDeployment();
        first = await deployment.addServer({ id: "i-1", born: firstBirth });
        second = await deployment.addServer({ id: "i-2", born: firstBirth });
        deployment.configure(2, [
            { name: "lookup", path: "/lookup/", kind: "safe" },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        box = deployment.startBox();
        await waitUntil(() => box.running.isReady(), "the box is ready");
    });

    afterEach(() => deployment.close());

    const logged = (text: string) => waitUntil(() => box.logLines.some(line => line.includes(text)), text);
    const record = (server: ServerStandIn, place: ServerRecordOptions) => deployment.writeServerRecord(server, place);

    async function ask(path = "/lookup/", body?: string): Promise<number> {
        requests += 1;
        const method = body === undefined ? "GET" : "POST";
        const requestId = `r-${requests}`;
        return (await sendRequest({ address: box.callerAddress, host: testHost, path, method, body, requestId }))
            .status;
    }

    async function askOften(): Promise<void> {
        for (let index = 0; index < 12; index++) {
            expect(await ask()).to.equal(200);
        }
    }

    it("uses a server again that drained before it started anew", async () => {
        record(first, { state: "draining", born: firstBirth });
        await logged("event=server.leaving server=i-1");
        const runsBefore = first.runs.length;
        await askOften();
        expect(first.runs).to.have.length(runsBefore);
        record(first, { born: firstBirth + 5000 });
        await logged("event=server.restarted server=i-1");
        await askOften();
        expect(first.runs.length).to.be.greaterThan(runsBefore);
    });

    it("does not use a server that drains on the word of its earlier life", async () => {
        record(first, { state: "draining", born: firstBirth + 5000 });
        await logged("event=server.restarted server=i-1");
        const runsBefore = first.runs.length;
        record(first, { born: firstBirth });
        const revision = deployment.store.revision();
        await deployment.addServer({ id: "i-3", born: firstBirth });
        await logged("added=i-3");
        expect(revision).to.be.lessThan(deployment.store.revision());
        await askOften();
        expect(first.runs).to.have.length(runsBefore);
    });

    it("sends a save to the new life on a new connection, once", async () => {
        deployment.store.delete("servers", second.id);
        await logged("removed=i-2");
        expect(await ask("/save/", "work")).to.equal(200);
        const port = Number(first.address().split(":")[1]);
        first.close();
        const reborn = await deployment.addServer({ id: "i-1", born: firstBirth + 5000, port });
        await logged("event=server.restarted server=i-1");
        expect(await ask("/save/", "work")).to.equal(200);
        expect([first.runs.length, reborn.runs.length]).to.deep.equal([1, 1]);
    });

    it("takes an entry of another writer for no server, and keeps the others", async () => {
        const draining = serverObject(first.address(), { state: "draining" }) as object;
        const withoutSlots = Object.fromEntries(Object.entries(draining).filter(([field]) => field !== "slots"));
        deployment.store.put("servers", first.id, withoutSlots);
        deployment.store.put("servers", "i-odd", {
            ...serverObject(first.address(), {}) as object,
            state: "backedOff",
        });
        deployment.store.put("servers", "i-bytes", "\u0000\ufffd");
        await logged("removed=i-1");
        const runsBefore = first.runs.length;
        await askOften();
        expect([first.runs.length, second.runs.length >= 12]).to.deep.equal([runsBefore, true]);
        record(first, { born: firstBirth });
        await waitUntil(async () => await ask() === 200 && first.runs.length > runsBefore, "i-1 is used again");
    });
});
