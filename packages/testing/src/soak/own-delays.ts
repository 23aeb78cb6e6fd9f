/**
 * Records for how long the event loop of the soak itself was held up: callers and servers share it, so that a time which
 * it observes may be late by that much.
 *
 * Owns a timer, which ends with `stop`.
 */

import type { Interval } from "./observations.js";

/** Delays of the soak's own event loop. */
export interface OwnDelays {
    /** Milliseconds of delays between two times of the run. */
    readonly within: (from: number, to: number) => number;
    readonly stop: () => void;
}

/** Milliseconds between two beats of the timer. */
const beatInterval = 2;
/** Milliseconds by which a beat is late at least if the loop was held up. */
const minDelay = 5;

/** Starts the record. `now`: milliseconds since the start of the run. */
export function recordOwnDelays(now: () => number): OwnDelays {
    const delays: Interval[] = [];
    let expectedAt = now() + beatInterval;
    const timer = setInterval(() => {
        const at = now();
        if (at - expectedAt >= minDelay) {
            delays.push({ from: expectedAt, to: at });
        }
        expectedAt = at + beatInterval;
    }, beatInterval);

    return {
        within: (from, to) =>
            delays.reduce((sum, delay) => sum + Math.max(0, Math.min(to, delay.to) - Math.max(from, delay.from)), 0),
        stop: () => clearInterval(timer),
    };
}
