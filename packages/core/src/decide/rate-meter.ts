/**
 * Requests per second, smoothed over a few samples.
 */

import type { Milliseconds } from "../kernel/ids.js";

/** Counts requests and turns the count into a rate at each sample. */
export interface RateMeter {
    readonly add: (count: number) => void;
    /** Closes the interval since the last sample. */
    readonly sample: (at: Milliseconds) => void;
    /** Returns requests per second as of the last sample. */
    readonly rate: () => number;
}

/** Time constant of the smoothing in milliseconds. */
const smoothingTime = 3000;

/** Creates a meter at rate 0. */
export function createRateMeter(startedAt: Milliseconds): RateMeter {
    let last = startedAt;
    let count = 0;
    let rate = 0;
    return {
        add(more) {
            count += more;
        },
        sample(at) {
            const elapsed = at - last;
            if (elapsed <= 0) {
                return;
            }
            const current = count / elapsed * 1000;
            rate += (current - rate) * (1 - Math.exp(-elapsed / smoothingTime));
            if (rate < negligibleRate) {
                rate = 0;
            }
            last = at;
            count = 0;
        },
        rate: () => rate,
    };
}

const negligibleRate = 1e-3;
