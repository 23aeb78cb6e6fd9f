/**
 * The box's program as the platform starts it.
 */

import { expect } from "chai";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { createBoxProcess } from "../src/soak/box-process.js";
import { sendRequest } from "../src/standins/client.js";
import { startTestDeployment, testHost, waitUntil } from "../src/standins/deployment.js";
import { workspaceRoot } from "../src/workspace-root.js";

const program = resolve(workspaceRoot, "platform/dist/src/main.js");

function run(settings: string | undefined): Promise<{ status: number | null; output: string; }> {
    return new Promise(done => {
        const env = { ...process.env, CHALKDALE_SETTINGS: settings ?? "" };
        const child = spawn(process.execPath, [program], { env });
        let output = "";
        child.stdout.on("data", (data: Buffer) => {
            output += data.toString();
        });
        child.on("exit", status => done({ status, output }));
    });
}

describe("the box's program", () => {
    let folder: string;
    /** What a test has started; it ends also when the test fails, or the run of all tests would not end. */
    let cleanUps: (() => Promise<void>)[];

    beforeEach(() => {
        cleanUps = [];
        folder = mkdtempSync(join(tmpdir(), "chalkdale-"));
    });

    afterEach(async () => {
        await Promise.all(cleanUps.map(cleanUp => cleanUp()));
        rmSync(folder, { recursive: true });
    });

    it("ends with status 3 and a reason when no settings file is named", async () => {
        const { status, output } = await run(undefined);
        expect(status).to.equal(3);
        expect(output).to.include("event=settings.missing");
    });

    it("ends with status 3 and a reason when the file can't be read", async () => {
        const { status, output } = await run(join(folder, "none"));
        expect(status).to.equal(3);
        expect(output).to.include("event=settings.unreadable");
    });

    it("serves on while nobody reads its log", async () => {
        const deployment = await startTestDeployment();
        await deployment.addServer({ id: "i-1" });
        deployment.configure(2, [{ name: "lookup", path: "/lookup/", kind: "safe" }]);
        const box = createBoxProcess({
            name: "box-0",
            host: "127.0.3.1",
            firstPort: 20_000 + process.pid % 1000 * 10,
            zone: "north-a",
            region: "north",
            zones: { "north-a": "north" },
            store: deployment.storeServer.address(),
            seeds: [],
            folder,
            readLog: false,
        });
        box.start();
        cleanUps.push(async () => {
            box.signal("SIGKILL");
            await box.waitForExit();
            await deployment.close();
        });
        const ask = (path: string) =>
            sendRequest({ address: box.callerAddress, host: testHost, path, requestId: "p-1" });
        await waitUntil(async () => (await ask("/lookup/")).status === 200, "it serves");
        // Each line names the path, so that the lines of one second fill the pipe.
        const longPath = `/nowhere/${"x".repeat(60_000)}`;
        for (let count = 0; count < 20; count++) {
            expect((await ask(longPath)).status).to.equal(404);
        }
        expect((await ask("/lookup/")).status).to.equal(200);
    });

    it("ends with status 3 and a line for each fault when the settings are wrong", async () => {
        const file = join(folder, "boot.conf");
        writeFileSync(file, "node_name=a\nzone=z\n");
        const { status, output } = await run(file);
        expect(status).to.equal(3);
        expect(output).to.include("fault=\"region is missing\"");
        expect(output).to.include("fault=\"platform.address is missing\"");
    });
});
