/**
 * `npm run bench`: an entry box against the same backend servers asked
 * directly and against a bare pass-through, all in one run. Prints
 * `name value unit` lines. Bounded to about a minute.
 */

import type { SettingsDocument } from "@chalkdale/core";
import { urlOf } from "@chalkdale/runtime";
import { answers, type Deployment, startDeployment, waitFor } from "../launch/deployment.js";
import { startProcess } from "../launch/process.js";
import { type LoadResult, runHttpLoad } from "./load.js";
import { processorSeconds, residentMemory } from "./process-usage.js";

const basePort = 22_000;
const passthroughPort = basePort + 90;
const connections = 64;
const duration = 4;
const rounds = 3;
const manyRequests = 100_000;
const slowDownloads = 50;

const document: SettingsDocument = {
    deployment: "bench",
    nodes: {
        "/": { isolationTime: 2, leaseTime: 2, floorShare: 1, slots: 1000, connections: 100, slowStart: 0 },
        "/regions/north": { capacity: 1e8 },
        "/regions/north/north-a": { boxes: ["bench-1"] },
        "/services/bench": {},
    },
};

function report(name: string, value: number, unit: string): void {
    process.stdout.write(`${name} ${value.toFixed(3)} ${unit}\n`);
}

const deployment: Deployment = await startDeployment({
    document,
    fleets: [{ service: "bench", count: 4 }],
    basePort,
    workTime: 0,
    slots: 2000,
});
const passthrough = startProcess("passthrough", "packages/testing/dist/src/bench/passthrough-process.js", [
    String(passthroughPort),
    ...deployment.backends.map(backend => String(backend.address.port)),
], () => undefined);

try {
    const box = deployment.boxes[0];
    const boxOrigin = urlOf(box.callers);
    const targets = {
        direct: { origin: urlOf(deployment.backends[0].address), path: "/work", id: 0 },
        passthrough: { origin: `http://127.0.0.1:${passthroughPort}`, path: "/work", id: passthrough.id },
        box: { origin: boxOrigin, path: "/v1/services/bench/work", id: box.entry.id },
    };
    await deployment.waitUntilReady(20_000);
    await waitFor(() => answers(box.callers, "/v1/services/bench/work"));
    await waitFor(() => answers({ address: "127.0.0.1", port: passthroughPort }, "/work"));
    await compare(targets);
    await memoryOverManyRequests(box.entry.id, box.agent.id, targets.box);
    await memoryUnderDownloads(box.entry.id, boxOrigin);
}
finally {
    await passthrough.stop();
    await deployment.stop();
}
process.exit(0);

interface Target {
    readonly origin: string;
    readonly path: string;
    readonly id: number;
}

/** The targets in turn, several rounds; medians are reported. */
async function compare(targets: Record<"direct" | "passthrough" | "box", Target>): Promise<void> {
    const names = ["direct", "passthrough", "box"] as const;
    const full = new Map<string, LoadResult[]>();
    const half = new Map<string, LoadResult[]>();
    const processor = new Map<string, number[]>();
    const add = <Value>(map: Map<string, Value[]>, name: string, value: Value) =>
        map.set(name, [...map.get(name) ?? [], value]);
    for (const name of names) {
        await runHttpLoad({ ...targets[name], connections, duration: 1 });
    }
    for (let round = 0; round < rounds; round++) {
        for (const name of names) {
            const before = name === "direct" ? 0 : processorSeconds(targets[name].id);
            const result = await runHttpLoad({ ...targets[name], connections, duration });
            const after = name === "direct" ? 0 : processorSeconds(targets[name].id);
            add(full, name, result);
            add(processor, name, (after - before) / result.requests * 1e6);
        }
    }
    const halfRate = median(full.get("box")!.map(result => result.rate)) / 2;
    for (let round = 0; round < rounds; round++) {
        for (const name of names) {
            add(half, name, await runHttpLoad({ ...targets[name], connections, duration, rate: halfRate }));
        }
    }
    for (const name of names) {
        const results = full.get(name)!;
        report(`full.${name}.rate`, median(results.map(result => result.rate)), "requests/s");
        report(`full.${name}.failures`, results.reduce((sum, result) => sum + result.failures, 0), "requests");
        for (const percentile of [50, 99, 99.9]) {
            report(`full.${name}.p${percentile}`, median(results.map(result => result.at(percentile))), "ms");
            report(`half.${name}.p${percentile}`, median(half.get(name)!.map(result => result.at(percentile))), "ms");
        }
        report(`full.${name}.processor`, median(processor.get(name)!), "us/request");
    }
    const ratio = (map: Map<string, number[]>) => median(map.get("box")!) / median(map.get("passthrough")!);
    const p99 = (name: string) => median(half.get(name)!.map(result => result.at(99)));
    report("half.rate", halfRate, "requests/s");
    report("ratio.processor.box-to-passthrough", ratio(processor), "times");
    report("half.added-p99.over-direct", p99("box") - p99("direct"), "ms");
    report("half.added-p99.over-passthrough", p99("box") - p99("passthrough"), "ms");
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

async function memoryOverManyRequests(entry: number, agent: number, target: Target): Promise<void> {
    report("memory.entry.before", residentMemory(entry).all, "MB");
    const portions = 4;
    for (let portion = 1; portion <= portions; portion++) {
        let sent = 0;
        while (sent < manyRequests / portions) {
            sent += (await runHttpLoad({ ...target, connections, duration: 1 })).requests;
        }
        report(`memory.entry.after-${portion * manyRequests / portions}-requests`, residentMemory(entry).all, "MB");
    }
    report("memory.entry.own", residentMemory(entry).own, "MB");
    report("memory.agent.all", residentMemory(agent).all, "MB");
    report("memory.agent.own", residentMemory(agent).own, "MB");
}

/** Archive downloads whose callers read slowly; the box must not hold what they have not read. */
async function memoryUnderDownloads(entry: number, origin: string): Promise<void> {
    const before = residentMemory(entry).all;
    const bytes = 20 * 1024 * 1024;
    const stop = new AbortController();
    const responses = await Promise.all(
        Array.from(
            { length: slowDownloads },
            () => fetch(`${origin}/v1/services/bench/download?bytes=${bytes}`, { signal: stop.signal }),
        ),
    );
    await new Promise(resolve => setTimeout(resolve, 3000));
    report("memory.entry.added-by-50-slow-downloads", residentMemory(entry).all - before, "MB");
    stop.abort();
    await Promise.allSettled(responses.map(response => response.body?.cancel()));
}
