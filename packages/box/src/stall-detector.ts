/**
 * Notices that this process stood still: its timers came far later than they
 * were due, as after a suspension of the machine or while its processor was taken away.
 * Whatever it decides right after that goes by what it believed before.
 *
 * Owns when it was last called.
 */

import type { Clock } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";

/**
 * Milliseconds late from which a line is written: half of the shortest bound on changes (2 s), so that each stall that can matter
 * for it leaves one.
 */
const leastStall = 1000;

/** Returns the function that is due each `interval` milliseconds. */
export function createStallDetector(clock: Clock, log: Log, interval: number): () => void {
    let lastAt = clock();

    return function onTick() {
        const late = clock() - lastAt - interval;
        lastAt = clock();
        if (late >= leastStall) {
            log.warn("box.stalled", { for: Math.round(late) });
        }
    };
}
