/**
 * Measures the processor load of this box by the utilization of its event loop.
 *
 * Owns the last measurement; relies on the event loop statistics of Node.js.
 */

import { performance } from "node:perf_hooks";

/** Processor load of this box. */
export interface LoadMeter {
    /** Measures the time since the previous call. */
    readonly measure: () => void;
    /** Smoothed load in processor cores, to two decimals. */
    readonly cores: () => number;
}

/** Weight of a new measurement, one each second: a load that lasts five seconds counts for two thirds. */
const smoothing = 0.2;
/** Two decimals are enough for the load, which is sent to other boxes. */
const hundredths = 100;

/** Creates the meter of a box with the given capacity in cores; the load is 0 at first. */
export function createLoadMeter(capacity: number): LoadMeter {
    let previous = performance.eventLoopUtilization();
    let cores = 0;

    return {
        measure() {
            const now = performance.eventLoopUtilization();
            const { utilization } = performance.eventLoopUtilization(now, previous);
            previous = now;
            cores += (utilization * capacity - cores) * smoothing;
        },
        cores: () => Math.round(cores * hundredths) / hundredths,
    };
}
