/**
 * Counts events of the last so many milliseconds in a ring of small intervals.
 *
 * Owns the ring; relies on times that never go back.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** A count over a sliding window. Times never go back. */
export interface SlidingWindowCounter {
    readonly add: (at: Milliseconds, count?: number) => void;
    /** Events within the window that ends at the given time; the oldest interval counts whole. */
    readonly total: (at: Milliseconds) => number;
}

/** Intervals of a window: a count is late by a twentieth of it at most, 0.5 s of 10 s. */
const intervals = 20;

/** Creates an empty count. */
export function createSlidingWindowCounter(window: Milliseconds): SlidingWindowCounter {
    const length = window / intervals;
    const counts = new Array<number>(intervals + 1).fill(0);
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
        const target = Math.floor(at / length);
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
