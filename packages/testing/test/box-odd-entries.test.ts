/**
 * Odd entries that another writer leaves among the records of the boxes. Guards against boxes that end again and again:
 * a datagram to a port that is none is an error at once, not a datagram that is lost.
 */

import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type BoxProcess, createBoxProcess } from "../src/soak/box-process.js";
import { sendRequest } from "../src/standins/client.js";
import { startTestDeployment, type TestDeployment, testHost, waitUntil } from "../src/standins/deployment.js";

const nested = (depth: number): unknown => JSON.parse(`${"[".repeat(depth)}${"]".repeat(depth)}`);
const valid = {
    box: "b-odd",
    incarnation: "1",
    heartbeat: 1,
    leaving: false,
    ready: true,
    region: "north",
    zone: "north-a",
    peerAddress: "127.0.0.1:7",
    callerAddress: "127.0.0.1:8",
    capacity: 1,
    load: 0,
};
const oddRecords: Readonly<Record<string, unknown>> = {
    ...Object.fromEntries(
        ["127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:1e9", "127.0.0.1:", "127.0.0.1", "", ":", "x:1"]
            .map(peerAddress => [`the address '${peerAddress}'`, { ...valid, peerAddress }]),
    ),
    "an address that is a number": { ...valid, peerAddress: 7 },
    "a deeply nested address": { ...valid, peerAddress: nested(1000) },
    "a deeply nested incarnation": { ...valid, incarnation: nested(1000) },
    "a number too large as capacity": { ...valid, capacity: 1e308, load: 1e308 },
    "a zone that is a list": { ...valid, zone: [], region: nested(100) },
    "no fields": {},
    "a text": "odd",
    "a list": nested(1000),
};

describe("odd entries among the records of the boxes", () => {
    let deployment: TestDeployment;
    let box: BoxProcess;
    let folder: string;

    beforeEach(async () => {
        folder = mkdtempSync(join(tmpdir(), "chalkdale-odd-"));
        deployment = await startTestDeployment();
        await deployment.addServer({ id: "i-1" });
        deployment.configure(2, [{ name: "lookup", path: "/lookup/", kind: "safe" }]);
        box = createBoxProcess({
            name: "box-1",
            host: "127.0.5.1",
            firstPort: 20_000 + process.pid % 1000 * 10,
            zone: "north-a",
            region: "north",
            zones: { "north-a": "north" },
            store: deployment.storeServer.address(),
            seeds: [],
            folder,
        });
    });

    afterEach(async () => {
        box.signal("SIGKILL");
        await box.waitForExit();
        await deployment.close();
        rmSync(folder, { recursive: true });
    });

    for (const [name, record] of Object.entries(oddRecords)) {
        it(`keep no box from starting and serving (${name})`, async () => {
            deployment.store.put("chalkdale-boxes", "b-odd", record);
            box.start();
            await waitUntil(
                () => deployment.store.get("chalkdale-boxes", "box-1").status === 200,
                "the box has read the records of all boxes and written its own",
            );
            const request = { address: box.callerAddress, host: testHost, path: "/lookup/", requestId: "r-1" };
            await waitUntil(async () => (await sendRequest(request)).status === 200, "the box serves");
            expect(box.isRunning()).to.equal(true);
        });
    }
});
