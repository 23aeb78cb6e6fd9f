/**
 * One box and a server that restarts under its id, and entries in the store that are not server records, over real
 * sockets.
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

const firstBornAt = 1_700_000_000_000;

describe("a box and the incarnations of a server", () => {
    let deployment: TestDeployment;
    let box: TestBox;
    let first: ServerStandIn;
    let second: ServerStandIn;
    let requests: number;

    beforeEach(async () => {
        requests = 0;
        deployment = await startTestDeployment();
        first = await deployment.addServer({ id: "i-1", born: firstBornAt });
        second = await deployment.addServer({ id: "i-2", born: firstBornAt });
        deployment.configure(2, [
            { name: "lookup", path: "/lookup/", kind: "safe" },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        box = deployment.startBox();
        await waitUntil(() => box.running.isReady(), "the box is ready");
    });

    afterEach(() => deployment.close());

    const waitForLogLine = (text: string) => waitUntil(() => box.logLines.some(line => line.includes(text)), text);
    const writeRecord = (server: ServerStandIn, options: ServerRecordOptions) =>
        deployment.writeServerRecord(server, options);

    async function ask(path = "/lookup/", body?: string): Promise<number> {
        requests += 1;
        const method = body === undefined ? "GET" : "POST";
        const requestId = `r-${requests}`;
        return (await sendRequest({ address: box.callerAddress, host: testHost, path, method, body, requestId }))
            .status;
    }

    async function askRepeatedly(): Promise<void> {
        for (let index = 0; index < 12; index++) {
            expect(await ask()).to.equal(200);
        }
    }

    it("uses a server again that drained before it restarted", async () => {
        writeRecord(first, { state: "draining", born: firstBornAt });
        await waitForLogLine("event=server.leaving server=i-1");
        const runsBefore = first.runs.length;
        await askRepeatedly();
        expect(first.runs).to.have.length(runsBefore);
        writeRecord(first, { born: firstBornAt + 5000 });
        await waitForLogLine("event=server.restarted server=i-1");
        await askRepeatedly();
        expect(first.runs.length).to.be.greaterThan(runsBefore);
    });

    it("does not use a draining server because of a record of its earlier incarnation", async () => {
        writeRecord(first, { state: "draining", born: firstBornAt + 5000 });
        await waitForLogLine("event=server.restarted server=i-1");
        const runsBefore = first.runs.length;
        writeRecord(first, { born: firstBornAt });
        const revision = deployment.store.revision();
        await deployment.addServer({ id: "i-3", born: firstBornAt });
        await waitForLogLine("added=i-3");
        expect(revision).to.be.lessThan(deployment.store.revision());
        await askRepeatedly();
        expect(first.runs).to.have.length(runsBefore);
    });

    it("sends a write to the new incarnation once, over a new connection", async () => {
        deployment.store.delete("servers", second.id);
        await waitForLogLine("removed=i-2");
        expect(await ask("/save/", "work")).to.equal(200);
        const port = Number(first.address().split(":")[1]);
        first.close();
        const restarted = await deployment.addServer({ id: "i-1", born: firstBornAt + 5000, port });
        await waitForLogLine("event=server.restarted server=i-1");
        expect(await ask("/save/", "work")).to.equal(200);
        expect([first.runs.length, restarted.runs.length]).to.deep.equal([1, 1]);
    });

    it("takes entries with missing or unknown values for no servers, and keeps the others", async () => {
        const draining = serverObject(first.address(), { state: "draining" }) as object;
        const withoutSlots = Object.fromEntries(Object.entries(draining).filter(([field]) => field !== "slots"));
        deployment.store.put("servers", first.id, withoutSlots);
        deployment.store.put("servers", "i-odd", {
            ...serverObject(first.address(), {}) as object,
            state: "backedOff",
        });
        deployment.store.put("servers", "i-bytes", "\u0000\ufffd");
        await waitForLogLine("removed=i-1");
        const runsBefore = first.runs.length;
        await askRepeatedly();
        expect([first.runs.length, second.runs.length >= 12]).to.deep.equal([runsBefore, true]);
        writeRecord(first, { born: firstBornAt });
        await waitUntil(async () => await ask() === 200 && first.runs.length > runsBefore, "i-1 is used again");
    });
});
