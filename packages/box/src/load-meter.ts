/**
 * How much of the processor this box uses, from how long its event loop is busy.
 *
 * Owns the last measurement; relies on Node's own clock of the event loop.
 */

import { performance } from "node:perf_hooks";

/** Load of this box. */
export interface LoadMeter {
    /** Takes in the time since the last measurement. */
    readonly measure: () => void;
    /** Smoothed load as a number of processor cores. */
    readonly cores: () => number;
}

/** Weight of the newest second: a load that lasts five seconds counts for two thirds. */
const smoothing = 0.2;
/** The load is sent to other boxes, to two digits. */
const hundredths = 100;

/** Creates the measurement for a box of the given capacity in cores; the load is 0 at first. */
export function createLoadMeter(capacity: number): LoadMeter {
    let before = performance.eventLoopUtilization();
    let cores = 0;

    return {
        measure() {
            const now = performance.eventLoopUtilization();
            const { utilization } = performance.eventLoopUtilization(now, before);
            before = now;
            cores += (utilization * capacity - cores) * smoothing;
        },
        cores: () => Math.round(cores * hundredths) / hundredths,
    };
}
