/**
 * Failures of real processes: kill, stop and restart. Each test waits for
 * conditions, never for fixed times.
 */

import { createCaller } from "@chalkdale/caller";
import { urlOf } from "@chalkdale/runtime";
import { expect } from "chai";
import { request } from "undici";
import { answers, type Deployment, type RunningBox, startDeployment, waitFor } from "../src/launch/deployment.js";
import { smallTree } from "./small-deployment.js";

const basePort = 24_000;

describe("real processes", () => {
    let deployment: Deployment;

    before(async () => {
        const document = smallTree({ isolationTime: 2, leaseTime: 2, answerLifetime: 0.5, ticketMethods: ["POST"] });
        deployment = await startDeployment({ document, fleets: [{ service: "search", count: 6 }], basePort });
        await deployment.waitUntilReady(30_000);
    });
    after(() => deployment.stop());

    const serves = (box: RunningBox) => answers(box.callers, "/v1/services/search/work");

    async function statusOf(box: RunningBox): Promise<{ settingsVersion: number; boxes: string[]; }> {
        const { body } = await request(urlOf(box.operators.entry, "/status"));
        return await body.json() as { settingsVersion: number; boxes: string[]; };
    }

    async function savedRuns(): Promise<Map<string, number>> {
        const { body } = await request(urlOf(deployment.backendAdmin, "/counts"));
        const counts = await body.json() as { saved: Record<string, number>; }[];
        const runs = new Map<string, number>();
        counts.flatMap(({ saved }) => Object.entries(saved)).forEach(([name, times]) => {
            runs.set(name, (runs.get(name) ?? 0) + times);
        });
        return runs;
    }

    describe("an agent that is killed", () => {
        it("leaves its entry program serving, which hears of an edit through another agent", async () => {
            const [box] = deployment.boxes;
            await waitFor(() => serves(box));
            box.agent.signal("SIGKILL");
            await box.agent.exited;
            await waitFor(() => serves(box));
            const before = (await statusOf(box)).settingsVersion;
            await editShiftCap(0.3);
            await waitFor(async () => (await statusOf(box)).settingsVersion > before);
            deployment.startAgent(box);
            await waitFor(() => answers(box.operators.agent, "/readyz"));
        });
    });

    async function editShiftCap(shiftCap: number): Promise<void> {
        const call = { timeout: 2000, signal: new AbortController().signal };
        const read = await deployment.platform.get("config/settings", call);
        if (read.kind !== "done") {
            throw new Error(read.kind);
        }
        const { document } = read.value.value as { document: ReturnType<typeof smallTree>; };
        const nodes = { ...document.nodes, "/": { ...document.nodes["/"], shiftCap } };
        const value = { document: { ...document, nodes }, edits: [] };
        await deployment.platform.update("config/settings", read.value.version, value, call);
    }

    describe("an entry program that is killed while an operation runs [P5]", () => {
        it("never lets it run twice: the same ticket is answered as unknown after the restart", async () => {
            const box = deployment.boxes[1];
            await waitFor(() => serves(box));
            const lookup = await request(urlOf(box.callers, "/v1/lookup?service=search&ticket=1"));
            const { ticket } = await lookup.body.json() as { ticket: string; };
            const send = () =>
                request(urlOf(box.callers, "/v1/services/search/save?ms=1000"), {
                    method: "POST",
                    body: "killed-operation",
                    headers: { "chalkdale-ticket": ticket },
                });
            const first = send().then(() => "answered", () => "broken off");
            await waitFor(async () => (await savedRuns()).has("killed-operation"));
            box.entry.signal("SIGKILL");
            expect(await first).to.equal("broken off");
            deployment.startEntry(box);
            await waitFor(() => answers(box.operators.entry, "/healthz"));
            const second = await send();
            const body = await second.body.json() as { error: string; ran: string; };
            expect(body).to.include({ error: "ticketOfOtherIncarnation", ran: "unknown" });
            expect((await savedRuns()).get("killed-operation")).to.equal(1);
            await waitFor(() => serves(box));
        });
    });

    describe("an entry program that is stopped for longer than its lease [P2]", () => {
        it("is no longer named by others, uses no lease when it goes on, and then serves again", async () => {
            const [box, other] = deployment.boxes;
            await waitFor(async () => (await statusOf(other)).boxes.includes(box.id));
            box.entry.signal("SIGSTOP");
            await waitFor(async () => !(await statusOf(other)).boxes.includes(box.id));
            box.entry.signal("SIGCONT");
            await waitFor(() => serves(box));
            await waitFor(async () => (await statusOf(other)).boxes.includes(box.id));
        });
    });

    describe("a planned stop [P7]", () => {
        it("cuts no download, refuses new work with another box named, and ends with status 0", async () => {
            const box = deployment.boxes[2];
            await waitFor(() => serves(box));
            const bytes = 4 * 1024 * 1024;
            const download = await request(urlOf(box.callers, `/v1/services/search/download?bytes=${bytes}&over=3000`));
            box.entry.signal("SIGTERM");
            await waitFor(async () => !await answers(box.operators.entry, "/readyz"));
            const refused = await request(urlOf(box.callers, "/v1/services/search/work"));
            const body = await refused.body.json() as { error: string; ran: string; boxes: { box: string; }[]; };
            expect(body).to.include({ error: "boxLeaving", ran: "not-run" });
            expect(body.boxes.map(({ box: name }) => name)).to.not.include(box.id);
            await waitFor(async () => !(await statusOf(deployment.boxes[0])).boxes.includes(box.id));
            expect((await download.body.arrayBuffer()).byteLength).to.equal(bytes);
            expect(await box.entry.exited).to.equal(0);
            deployment.startEntry(box);
            await waitFor(() => serves(box));
        });
    });

    describe("a caller of the library", () => {
        it("is served through a kill of the box that it uses", async () => {
            const [first] = deployment.boxes;
            const boxes = deployment.boxes.map(({ callers }) => `${callers.address}:${callers.port}`);
            const caller = createCaller({ boxes });
            const get = async () => {
                const answer = await caller.request({ service: "search", path: "/work" });
                return answer.ok ? (await answer.val.body.text(), answer.val.status) : answer.val.kind;
            };
            await waitFor(async () => await get() === 200);
            first.entry.signal("SIGKILL");
            await first.entry.exited;
            expect(await get()).to.equal(200);
            deployment.startEntry(first);
            await waitFor(() => serves(first));
            await caller.close();
        });

        it("runs an operation once, and is told what became of it", async () => {
            const boxes = deployment.boxes.map(({ callers }) => `${callers.address}:${callers.port}`);
            const caller = createCaller({ boxes });
            const request = { service: "search", path: "/save", method: "POST", body: "once", once: true } as const;
            const answer = await caller.request(request);
            expect(answer.ok && answer.val.status).to.equal(200);
            expect((await savedRuns()).get("once")).to.equal(1);
            await caller.close();
        });
    });

    describe("the platform out for a while", () => {
        it("changes nothing for callers", async () => {
            const set = (outage: boolean) =>
                request(urlOf(deployment.platformAddress, "/admin/faults"), {
                    method: "POST",
                    body: JSON.stringify({ outage }),
                });
            await set(true);
            for (const box of deployment.boxes) {
                await waitFor(() => serves(box));
            }
            await set(false);
        });
    });
});
