/**
 * Load over HTTP on loopback, bounded in time, with latencies in microseconds.
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";

/** What a load measured. */
export interface LoadResult {
    readonly requests: number;
    readonly failures: number;
    /** Requests per second. */
    readonly rate: number;
    /** Latency in milliseconds at a percentile. */
    readonly at: (percentile: number) => number;
}

export interface LoadOptions {
    /** Base URL and path. */
    readonly origin: string;
    readonly path: string;
    readonly connections: number;
    /** Seconds. */
    readonly duration: number;
    /** Requests per second; as fast as answers come when undefined. */
    readonly rate?: number;
}

/** Runs a load; with a rate, latency counts from when a request was due. */
export async function runHttpLoad(options: LoadOptions): Promise<LoadResult> {
    const pool = new Pool(options.origin, { connections: options.connections, pipelining: 1 });
    const histogram = build({ useWebAssembly: false, numberOfSignificantValueDigits: 3 });
    const state = { requests: 0, failures: 0 };
    const startedAt = performance.now();
    const endsAt = startedAt + options.duration * 1000;
    const send = async (dueAt: number) => {
        const { statusCode, body } = await pool.request({ method: "GET", path: options.path });
        await body.dump();
        state.requests++;
        state.failures += statusCode === 200 ? 0 : 1;
        histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * 1000)));
    };
    await (options.rate === undefined
        ? closedLoop(options.connections, endsAt, send)
        : openLoop(options.rate, startedAt, endsAt, send));
    await pool.close();
    const elapsed = (performance.now() - startedAt) / 1000;
    return { ...state, rate: state.requests / elapsed, at: percentile => valueAt(histogram, percentile) };
}

function valueAt(histogram: Histogram, percentile: number): number {
    return histogram.getValueAtPercentile(percentile) / 1000;
}

type Send = (dueAt: number) => Promise<void>;

/** Each connection sends its next request when the last one was answered. */
async function closedLoop(connections: number, endsAt: number, send: Send): Promise<void> {
    await Promise.all(Array.from({ length: connections }, async () => {
        while (performance.now() < endsAt) {
            await send(performance.now());
        }
    }));
}

/** Requests are sent when they are due, whether or not earlier ones were answered. */
async function openLoop(rate: number, startedAt: number, endsAt: number, send: Send): Promise<void> {
    const running = new Set<Promise<void>>();
    for (let count = 0; performance.now() < endsAt;) {
        const due = Math.min(performance.now(), endsAt);
        for (; startedAt + count * 1000 / rate <= due; count++) {
            const task = send(startedAt + count * 1000 / rate).finally(() => running.delete(task));
            running.add(task);
        }
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    await Promise.all(running);
}
