/**
 * Counts the events of a sliding time window in a ring of equal intervals.
 *
 * Owns the ring; relies on times that never decrease.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Counts events over a sliding window. The times passed in must not decrease. */
export interface SlidingWindowCounter {
    /** Adds `count` events, one by default. */
    readonly add: (at: Milliseconds, count?: number) => void;
    /** Number of events in the window that ends at the given time; the oldest interval is counted in full. */
    readonly total: (at: Milliseconds) => number;
}

/** Intervals per window: events are dropped late by at most a twentieth of the window, 0.5 s of 10 s. */
const intervalCount = 20;

/** Creates an empty counter; `window` is the length of the window. */
export function createSlidingWindowCounter(window: Milliseconds): SlidingWindowCounter {
    const intervalLength = window / intervalCount;
    const counts = new Array<number>(intervalCount + 1).fill(0);
    let current = 0;
    let sum = 0;

    return {
        add(at, count = 1) {
            advance(at);
            counts[current % counts.length] += count;
            sum += count;
        },
        total(at) {
            advance(at);
            return sum;
        },
    };

    function advance(at: Milliseconds): void {
        const target = Math.floor(at / intervalLength);
        if (target - current > counts.length) {
            counts.fill(0);
            sum = 0;
            current = target;
            return;
        }
        while (current < target) {
            current += 1;
            const index = current % counts.length;
            sum -= counts[index];
            counts[index] = 0;
        }
    }
}
