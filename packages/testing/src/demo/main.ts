/**
 * `npm run demo`: a whole deployment on loopback, under traffic, while a
 * backend server drains, traffic shifts by an edit of the tree, and an entry
 * box stops as planned. Ends with status 0 only if all of it came out right.
 */

import { objectVersion, type SettingsDocument } from "@chalkdale/core";
import { objectKeys, type Platform } from "@chalkdale/platform";
import { urlOf } from "@chalkdale/runtime";
import { type ValueChange } from "@chalkdale/settings";
import { applyEdit, readTree, type StoredSettings } from "@chalkdale/settings";
import { readFile } from "node:fs/promises";
import { resolve } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { request } from "undici";
import { type Deployment, startDeployment, waitFor } from "../launch/deployment.js";
import { workspace } from "../launch/process.js";
import { createChecks } from "./checks.js";
import { createTraffic, type Traffic } from "./traffic.js";

const basePort = 18_000;
const workTime = 5;
const steadyTime = 4000;
const leavingLimit = 3000;
const settleTime = 2000;
const shiftPerMinute = 3;

const startedAt = performance.now();
const checks = createChecks(line => process.stdout.write(`${line}\n`));
const logs: string[] = [];
const document = await demoTree();
const deployment = await startDeployment({
    document,
    fleets: [{ service: "profil-api", count: 25 }, { service: "tura-depot", count: 12 }],
    basePort,
    workTime,
    onLog: (name, line) => logs.push(`${name} ${line}`),
});

try {
    await deployment.waitUntilReady(20_000);
    await waitFor(() => allAreNamed(deployment));
    say(`started ${deployment.boxes.length * 2} processes of ${deployment.boxes.length} boxes, and the stand-ins`);
    const traffic = createTraffic(deployment);
    await pause(steadyTime);
    await drainBackend(deployment, "profil-api-1");
    await shiftAway(deployment, traffic);
    await stopBox(deployment, traffic);
    await traffic.stop();
    await checkOperations(deployment, traffic);
    summarise(traffic);
}
catch (error) {
    checks.expect(false, `the demo ran to its end: ${error instanceof Error ? error.stack : String(error)}`);
}
finally {
    await deployment.stop();
}
say(`took ${((performance.now() - startedAt) / 1000).toFixed(1)} s`);
if (checks.failed() > 0) {
    process.stdout.write(`last log lines:\n${logs.slice(-20).join("\n")}\n`);
}
process.exit(checks.failed() === 0 ? 0 : 1);

function say(line: string): void {
    process.stdout.write(`${line}\n`);
}

/** Pedala's tree, with times short enough to watch and callers on loopback. */
async function demoTree(): Promise<SettingsDocument> {
    const file = resolve(workspace, "examples/pedala.yaml");
    const read = readTree(file, await readFile(file, "utf8"));
    if (read.err) {
        throw new Error(`examples/pedala.yaml has ${read.val.length} faults`);
    }
    const nodes = { ...read.val.nodes };
    nodes["/"] = {
        ...nodes["/"],
        shiftCap: shiftPerMinute,
        isolationTime: 3,
        leaseTime: 6,
        answerLifetime: 1,
        warmUp: 5,
    };
    ["ro-nord", "eu-vest", "eu-sud"].forEach((region, index) => {
        nodes[`/regions/${region}`] = { ...nodes[`/regions/${region}`], clientBlocks: [`127.${index + 1}.0.0/16`] };
    });
    return { ...read.val, nodes };
}

/** Whether every box names all boxes, so that callers of each region find boxes there. */
async function allAreNamed({ boxes }: Deployment): Promise<boolean> {
    const named = await Promise.all(boxes.map(async box => {
        const { body } = await request(urlOf(box.operators.entry, "/status"));
        return (await body.json() as { boxes: string[]; }).boxes.length;
    }));
    return named.every(count => count === boxes.length);
}

async function drainBackend({ writeMembers, backends, backendAdmin }: Deployment, id: string): Promise<void> {
    const zone = backends.find(backend => backend.id === id)!.zone;
    await writeMembers(zone, new Set([id]));
    await pause(leavingLimit + settleTime);
    const { body } = await request(urlOf(backendAdmin, "/counts"));
    const counts = await body.json() as { id: string; sinceLastStart: number; answered: number; }[];
    const server = counts.find(entry => entry.id === id)!;
    checks.expect(server.answered > 0, `backend server ${id} served before it left`);
    checks.expect(server.sinceLastStart > settleTime, `no new work at ${id} from 3 s after the list said leaving`);
}

/** Drains an availability zone by an edit and watches its share of the traffic fall under the cap. */
async function shiftAway({ platform }: Deployment, traffic: Traffic): Promise<void> {
    const before = traffic.shareOf("profil-api", "ro-nord", "ro-nord-a");
    await edit(platform, { node: "/services/profil-api/ro-nord/ro-nord-a", key: "drain", from: undefined, to: true });
    const editedAt = performance.now();
    traffic.resetShares();
    await waitFor(async () => {
        traffic.resetShares();
        await pause(1000);
        return traffic.shareOf("profil-api", "ro-nord", "ro-nord-a") === 0;
    }, 30_000);
    const took = (performance.now() - editedAt) / 1000;
    const fastest = before / shiftPerMinute * 60;
    checks.expect(
        before > 0.2,
        `ro-nord-a had ${(before * 100).toFixed(0)}% of ro-nord's profil-api traffic before the edit`,
    );
    checks.expect(
        took >= fastest * 0.5,
        `the shift took ${took.toFixed(1)} s; the cap allows no less than ${
            (fastest / 2).toFixed(1)
        } s into two places`,
    );
}

async function edit(platform: Platform, change: ValueChange): Promise<void> {
    const call = { timeout: 2000, signal: AbortSignal.timeout(10_000) };
    const read = await platform.get(objectKeys.settings, call);
    if (read.kind !== "done") {
        throw new Error(`the platform answered ${read.kind}`);
    }
    const edited = applyEdit(read.value.value as StoredSettings, {
        id: "demo-1",
        author: "demo",
        at: "2026-01-01T00:00:00Z",
        changes: [{ node: change.node, key: "", from: false, to: true }, change],
    });
    const written = edited.ok
        ? await platform.update(objectKeys.settings, objectVersion(read.value.version), edited.val, call)
        : undefined;
    checks.expect(written?.kind === "done", "the edit of the tree was taken");
}

/** Stops a box while a download runs through it. */
async function stopBox({ boxes }: Deployment, traffic: Traffic): Promise<void> {
    const box = boxes[0];
    const download = traffic.slowDownload(box);
    await pause(300);
    const stoppedAt = performance.now();
    box.entry.signal("SIGTERM");
    const code = await box.entry.exited;
    const drainTime = (performance.now() - stoppedAt) / 1000;
    const whole = await download;
    checks.expect(code === 0, `box ${box.id} ended its planned stop after ${drainTime.toFixed(1)} s`);
    checks.expect(whole, "the terrain pack that was under way through it came whole");
}

async function checkOperations({ backendAdmin }: Deployment, traffic: Traffic): Promise<void> {
    const { body } = await request(urlOf(backendAdmin, "/counts"));
    const counts = await body.json() as { saved: Record<string, number>; }[];
    const runs = new Map<string, number>();
    for (const { saved } of counts) {
        for (const [name, times] of Object.entries(saved)) {
            runs.set(name, (runs.get(name) ?? 0) + times);
        }
    }
    const operations = traffic.operations();
    const twice = [...runs.values()].filter(times => times > 1).length;
    const refusedButRan = operations.filter(({ name, ran }) => ran === "not-run" && runs.has(name)).length;
    const lost = operations.filter(({ name, ran }) => ran === "ran" && !runs.has(name)).length;
    checks.expect(operations.length > 50, `${operations.length} climbs and bookings were sent`);
    checks.expect(twice === 0, "none ran twice");
    checks.expect(refusedButRan === 0, "none that was refused as not run had run");
    checks.expect(lost === 0, "each that was confirmed had run");
}

function summarise(traffic: Traffic): void {
    const { served, refused, failed, wrong, lines } = traffic.summary();
    say("");
    lines.forEach(say);
    checks.expect(served > 500, `${served} requests were served`);
    checks.expect(wrong === 0, "every answer was whole and its own caller's");
    checks.expect(failed === 0, `no request failed with its outcome unknown (${failed})`);
    checks.expect(refused <= served * 0.02, `${refused} were refused as not run`);
}
