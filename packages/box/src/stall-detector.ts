/**
 * Detects process pauses: timers that ran far later than they were due, as after a
 * suspension of the machine or while the process got no processor time. Decisions
 * right after a pause rely on outdated state.
 *
 * Owns the time of its last call.
 */

import type { Clock } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";

/**
 * Milliseconds of delay from which a pause is logged: half of the shortest bound on the propagation of changes (2 s),
 * so that every pause that can affect it is logged.
 */
const minLoggedStall = 1000;

/** Returns a function to be called every `interval` milliseconds; it logs pauses. */
export function createStallDetector(clock: Clock, log: Log, interval: number): () => void {
    let lastCallAt = clock();

    return function onTick() {
        const delay = clock() - lastCallAt - interval;
        lastCallAt = clock();
        if (delay >= minLoggedStall) {
            log.warn("box.stalled", { for: Math.round(delay) });
        }
    };
}
