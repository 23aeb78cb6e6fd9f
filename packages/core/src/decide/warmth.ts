/**
 * Estimates how warm the caches of a place are from the share of traffic
 * that it has served.
 */

import type { Milliseconds } from "../kernel/ids.js";

/** Warmth of a service's caches by zone. */
export interface Warmth {
    /** Warmth by zone index, 0 to 1. Reads live. */
    readonly values: Float64Array;
    /** Notes the requests per second that each zone served; places beyond the rates stay as they are. */
    readonly note: (rates: ArrayLike<number>, at: Milliseconds) => void;
}

/** Share of the mean rate at which a place counts as fully in use. */
const warmPartOfMean = 0.25;

/**
 * Creates the estimate. A place in use nears 1 with the time constant of
 * `warmUp` milliseconds and one without traffic nears 0 ten times as slowly.
 */
export function createWarmth(initial: ArrayLike<number>, warmUp: Milliseconds, startedAt: Milliseconds): Warmth {
    const values = Float64Array.from(initial);
    let last = startedAt;
    return {
        values,
        note(rates, at) {
            const elapsed = at - last;
            last = at;
            const mean = Array.from(rates).reduce((sum, rate) => sum + rate, 0) / Math.max(1, rates.length);
            if (elapsed <= 0 || mean <= 0) {
                return;
            }
            for (let zone = 0; zone < rates.length; zone++) {
                const inUse = Math.min(1, rates[zone] / (mean * warmPartOfMean));
                const constant = inUse > values[zone] ? warmUp : warmUp * coolingFactor;
                values[zone] += (inUse - values[zone]) * (1 - Math.exp(-elapsed / constant));
            }
        },
    };
}

const coolingFactor = 10;
