/**
 * `npm run capacity`: what an agent costs at 3, 9, 27 and 81 boxes, all real
 * agent processes on loopback. Prints `name value unit` lines. Bounded to
 * about five minutes and half of the machine's memory.
 */

import type { NodeValues, SettingsDocument } from "@chalkdale/core";
import { objectKeys } from "@chalkdale/platform";
import { urlOf } from "@chalkdale/runtime";
import { freemem, totalmem } from "node:os";
import { setTimeout as pause } from "node:timers/promises";
import { request } from "undici";
import { processorSeconds, residentMemory, transferredBytes } from "../bench/process-usage.js";
import { type Deployment, startDeployment } from "../launch/deployment.js";

interface Size {
    readonly zonesPerRegion: number;
    readonly boxesPerZone: number;
}

const sizes: readonly Size[] = [
    { zonesPerRegion: 1, boxesPerZone: 1 },
    { zonesPerRegion: 1, boxesPerZone: 3 },
    { zonesPerRegion: 3, boxesPerZone: 3 },
    { zonesPerRegion: 3, boxesPerZone: 9 },
];
const regions = ["east", "north", "west"];
const serversPerZone = 4;
const megabytesPerAgent = 110;
const warmUp = 15_000;
const sample = 15_000;
const readyTimeout = 90_000;
const edits = 5;

const report = (name: string, value: number, unit: string) =>
    void process.stdout.write(`${name} ${value.toFixed(3)} ${unit}\n`);

/** Numbers of boxes named on the command line; all sizes without any. */
const wanted = process.argv.slice(2).map(Number);

for (const size of sizes) {
    const boxes = regions.length * size.zonesPerRegion * size.boxesPerZone;
    if (wanted.length > 0 && !wanted.includes(boxes)) {
        continue;
    }
    const needed = boxes * megabytesPerAgent * 1024 * 1024;
    if (needed > totalmem() / 2 || needed > freemem()) {
        process.stdout.write(`boxes-${boxes} not run: it needs more than half of the memory\n`);
        continue;
    }
    await measureSize(size, boxes);
}
process.exit(0);

function treeOf(size: Size): SettingsDocument {
    const nodes: Record<string, NodeValues> = { "/": {}, "/services/search": {}, "/services/archive": {} };
    for (const region of regions) {
        nodes[`/regions/${region}`] = { capacity: 1000 };
        for (let zone = 0; zone < size.zonesPerRegion; zone++) {
            const names = Array.from({ length: size.boxesPerZone }, (_, box) => `${region}-${zone}-${box}`);
            nodes[`/regions/${region}/${region}-${zone}`] = { boxes: names };
        }
    }
    return { deployment: "sized", nodes };
}

async function measureSize(size: Size, boxes: number): Promise<void> {
    const zones = regions.length * size.zonesPerRegion;
    const deployment = await startDeployment({
        document: treeOf(size),
        fleets: [
            { service: "search", count: zones * serversPerZone / 2 },
            { service: "archive", count: zones * serversPerZone / 2 },
        ],
        basePort: 26_000,
        sharedEntries: true,
    });
    const name = (figure: string) => `boxes-${boxes}.${figure}`;
    try {
        await deployment.waitUntilReady(readyTimeout);
        await pause(warmUp);
        const before = await readCounters(deployment);
        await pause(sample);
        const after = await readCounters(deployment);
        const perSecond = (from: number, to: number) => (to - from) / (sample / 1000);
        const processor = after.processor.map((value, index) => perSecond(before.processor[index], value) * 100);
        const bytes = after.bytes.map((value, index) => perSecond(before.bytes[index], value) / 1024);
        const memory = deployment.boxes.map(box => residentMemory(box.agent.id));
        report(name("agent.processor.median"), median(processor), "% of a core");
        report(name("agent.processor.most"), Math.max(...processor), "% of a core");
        report(name("agent.bytes.median"), median(bytes), "KB/s");
        report(name("agent.bytes.most"), Math.max(...bytes), "KB/s");
        report(name("agent.memory.own.median"), median(memory.map(({ own }) => own)), "MB");
        report(name("agent.memory.own.most"), Math.max(...memory.map(({ own }) => own)), "MB");
        report(name("agent.memory.all.median"), median(memory.map(({ all }) => all)), "MB");
        report(name("platform.reads"), perSecond(before.reads, after.reads), "calls/s");
        report(name("platform.writes"), perSecond(before.writes, after.writes), "calls/s");
        report(name("platform.watches"), after.watches, "waiting");
        const times = await editTimes(deployment);
        report(name("edit.in-force.median"), median(times), "ms");
        report(name("edit.in-force.most"), Math.max(...times), "ms");
    }
    finally {
        await deployment.stop();
    }
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

async function readCounters({ boxes, platformAddress }: Deployment) {
    const { body } = await request(urlOf(platformAddress, "/admin/counts"));
    const counts = await body.json() as { reads: number; writes: number; watchesWaiting: number; };
    return {
        reads: counts.reads,
        writes: counts.writes,
        watches: counts.watchesWaiting,
        processor: boxes.map(box => processorSeconds(box.agent.id)),
        bytes: boxes.map(box => transferredBytes(box.agent.id)),
    };
}

/** Milliseconds from an edit's write until every agent has it. */
async function editTimes(deployment: Deployment): Promise<number[]> {
    const times: number[] = [];
    const call = { timeout: 5000, signal: new AbortController().signal };
    for (let count = 0; count < edits; count++) {
        const read = await deployment.platform.get(objectKeys.settings, call);
        if (read.kind !== "done") {
            throw new Error(`the platform answered ${read.kind}`);
        }
        const { document } = read.value.value as { document: SettingsDocument; };
        const nodes = { ...document.nodes, "/": { shiftCap: 0.1 + count / 100 } };
        const value = { document: { ...document, nodes }, edits: [] };
        const startedAt = performance.now();
        const written = await deployment.platform.update(objectKeys.settings, read.value.version, value, call);
        if (written.kind !== "done") {
            throw new Error(`the platform answered ${written.kind}`);
        }
        await Promise.all(deployment.boxes.map(box => untilVersion(box.operators.agent, written.value.version)));
        times.push(performance.now() - startedAt);
    }
    return times;
}

async function untilVersion(agent: Parameters<typeof urlOf>[0], version: number): Promise<void> {
    for (;;) {
        const { body } = await request(urlOf(agent, "/status"));
        const { settingsVersion } = await body.json() as { settingsVersion: number; };
        if (settingsVersion >= version) {
            return;
        }
        await pause(20);
    }
}
