/**
 * A clock for tests that runs the timers of the code under test in order, without waiting: `setTimeout` and
 * `clearTimeout` are replaced until it is stopped.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly act: () => void;
}

/** A clock that advances only in `runUntil`. */
export interface EmulatedClock {
    readonly now: () => Milliseconds;
    /** Calls `act` after `delay` milliseconds; returns the function that cancels the call. */
    readonly schedule: (delay: number, act: () => void) => () => void;
    /**
     * Advances to the time `end`: runs all timers that are due by then, and the reactions of promises that they settle.
     */
    readonly runUntil: (end: number) => Promise<void>;
    /** Restores the timers of the process. */
    readonly stop: () => void;
}

/** Replaces the timers of the process and starts the clock at 0. */
export function startEmulatedClock(): EmulatedClock {
    const { clearTimeout: realClear, setTimeout: realSet } = globalThis;
    const timers: Timer[] = [];
    let now = 0;
    let nextOrder = 0;
    globalThis.setTimeout =
        ((act: () => void, delay = 0) => schedule(Math.max(1, delay), act)) as unknown as typeof setTimeout;
    globalThis.clearTimeout = ((cancel?: () => void) => cancel?.()) as unknown as typeof clearTimeout;

    return {
        now: () => milliseconds(now),
        schedule,
        async runUntil(end) {
            await settle();
            while (timers.length > 0 && timers[0].at <= end) {
                now = Math.max(now, timers[0].at);
                timers.shift()!.act();
                await settle();
            }
            now = end;
        },
        stop() {
            globalThis.setTimeout = realSet;
            globalThis.clearTimeout = realClear;
        },
    };

    function schedule(delay: number, act: () => void): () => void {
        const timer = { at: now + Math.max(0, delay), order: nextOrder++, act };
        let low = 0;
        let high = timers.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (timers[middle].at <= timer.at) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        timers.splice(low, 0, timer);
        return () => {
            const index = timers.indexOf(timer);
            if (index >= 0) {
                timers.splice(index, 1);
            }
        };
    }

    /** Waits for the reactions of settled promises, which run before the next turn of the event loop. */
    function settle(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}
