/**
 * The operators' command line as its users see it: the built program against
 * the stand-in for the store of the settings tree.
 */

import { expect } from "chai";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { runCommandLine as chalkdale } from "../src/command-line.js";
import { serveSettingsStore, type SettingsStoreServer } from "../src/standins/settings-store-server.js";
import { workspaceRoot } from "../src/workspace-root.js";

describe("the command line", () => {
    let owner: AbortController;
    let server: SettingsStoreServer;
    let at: readonly string[];
    let folder: string;
    const example = resolve(workspaceRoot, "examples/pedala.yaml");

    before(async () => {
        owner = new AbortController();
        server = await serveSettingsStore(owner.signal);
        at = ["--platform", server.address];
        folder = await mkdtemp(join(tmpdir(), "chalkdale-"));
    });
    after(async () => {
        owner.abort();
        await rm(folder, { recursive: true, force: true });
    });

    async function variant(name: string, from: string, to: string): Promise<string> {
        const file = join(folder, name);
        await writeFile(file, (await readFile(example, "utf8")).replace(from, to));
        return file;
    }

    it("tells its help and its version", async () => {
        expect((await chalkdale("--help")).stdout).to.include("settings apply");
        expect((await chalkdale("--version")).stdout.trim()).to.equal("0.1.0");
    });

    it("ends with 2 for what it does not know", async () => {
        expect((await chalkdale("paint")).exitCode).to.equal(2);
        expect((await chalkdale("settings", "show", example, "--at", "/nowhere")).exitCode).to.equal(2);
    });

    it("shows where a value comes from", async () => {
        const run = await chalkdale("settings", "show", example, "--at", "/services/profil-api/ro-nord/ro-nord-a");
        expect(run.exitCode).to.equal(0);
        expect(run.stdout).to.match(/slots +6 +\/services\/profil-api\n/);
    });

    it("refuses a file with faults with 3 and names the places", async () => {
        const file = await variant("faults.yaml", "capacity: 900", "capacity: lots");
        const run = await chalkdale("settings", "check", file);
        expect(run.exitCode).to.equal(3);
        expect(run.stderr).to.include("faults.yaml:14:17: regions.ro-nord.settings.capacity: expected number");
    });

    it("applies a file, then only its differences, and acts on nothing in a dry run", async () => {
        expect((await chalkdale("settings", "apply", example, ...at)).exitCode).to.equal(0);
        const stored = () => server.store.read("config/settings")!;
        const version = stored().version;
        expect((await chalkdale("settings", "apply", example, ...at)).stdout).to.include("no changes");
        const file = await variant("cap.yaml", "shiftCap: 0.1 ", "shiftCap: 0.2 ");
        const dry = await chalkdale("settings", "apply", file, "--dry-run", ...at);
        expect(dry.stdout).to.match(/\/ +shiftCap +0\.1 +0\.2/);
        expect(stored().version).to.equal(version);
        expect((await chalkdale("settings", "apply", file, ...at)).exitCode).to.equal(0);
        expect((await chalkdale("settings", "history", "--json", ...at)).stdout).to.include("\"to\":0.2");
    });

    it("edits one value, and settles a write whose answer was lost", async () => {
        server.store.faults.lostAnswers = 1;
        const run = await chalkdale("settings", "edit", "shiftCap=0.3", "--at", "/", ...at);
        expect(run.exitCode).to.equal(0);
        const { document, edits } = server.store.read("config/settings")!.value as {
            document: { nodes: Record<string, { shiftCap: number; }>; };
            edits: { changes: { key: string; to: unknown; }[]; }[];
        };
        expect(document.nodes["/"].shiftCap).to.equal(0.3);
        expect(edits.filter(({ changes }) => changes.some(({ key, to }) => key === "shiftCap" && to === 0.3))).to.have
            .length(1);
    });

    it("explains a request from the logs of several boxes", async () => {
        const [one, other] = ["one.log", "other.log"].map(name => join(folder, name));
        await writeFile(one, "event=request.served request=r2 route=look status=200 after=1 version=1\n");
        await writeFile(
            other,
            "event=request.refused request=r1 route=save refusal=crowded sent=0 after=1 version=2\n",
        );
        const run = await chalkdale("explain", "r1", one, other);
        expect(run.exitCode).to.equal(0);
        expect(run.stdout).to.include("refused as crowded").and.to.include("It did not run.");
        expect(JSON.parse((await chalkdale("explain", "r2", one, other, "--json")).stdout)).to.include({
            verdict: "ran",
        });
        expect((await chalkdale("explain", "r9", one)).stderr).to.include("no line of request r9");
        expect((await chalkdale("explain", "r1", join(folder, "none.log"))).exitCode).to.equal(1);
        expect((await chalkdale("explain")).exitCode).to.equal(2);
    });

    it("refuses an edit that would leave the tree with faults", async () => {
        const run = await chalkdale("settings", "edit", "capacity=-5", "--at", "/regions/ro-nord", ...at);
        expect(run.exitCode).to.equal(3);
        expect(run.stderr).to.include("/regions/ro-nord capacity");
    });

    it("merges what two operators edit at once", async () => {
        const [one, other] = await Promise.all([
            chalkdale("settings", "edit", "headroomPrice=50", "--at", "/", ...at),
            chalkdale("settings", "edit", "coldPrice=20", "--at", "/", ...at),
        ]);
        expect([one.exitCode, other.exitCode]).to.deep.equal([0, 0]);
        const { document } = server.store.read("config/settings")!.value as {
            document: { nodes: Record<string, unknown>; };
        };
        expect(document.nodes["/"]).to.include({ headroomPrice: 50, coldPrice: 20 });
    });

    it("ends with 4 when the store is out, and says what to do", async () => {
        server.store.faults.outage = true;
        const run = await chalkdale("settings", "history", ...at);
        server.store.faults.outage = false;
        expect(run.exitCode).to.equal(4);
        expect(run.stderr).to.include("try again later");
    });

    it("ends with 2 for commands of programs that are gone", async () => {
        for (const word of ["status", "drain"]) {
            expect((await chalkdale(word)).exitCode).to.equal(2);
        }
    });
});
