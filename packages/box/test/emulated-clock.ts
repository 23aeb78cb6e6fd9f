/**
 * A clock for tests that plays the timers of the code under test in order,
 * without waiting: `setTimeout` and `clearTimeout` are replaced while it runs.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly act: () => void;
}

/** A clock whose time passes only by `runUntil`. */
export interface EmulatedClock {
    readonly now: () => Milliseconds;
    /** Acts after so many milliseconds; returns the function that prevents it. */
    readonly after: (delay: number, act: () => void) => () => void;
    /** Plays all timers that are due by then, and what promises they settle. */
    readonly runUntil: (end: number) => Promise<void>;
    /** Gives the timers of the process back. */
    readonly end: () => void;
}

/** Takes over the timers of the process. */
export function startEmulatedClock(): EmulatedClock {
    const { clearTimeout: realClear, setTimeout: realSet } = globalThis;
    const timers: Timer[] = [];
    let now = 0;
    let count = 0;
    globalThis.setTimeout =
        ((act: () => void, delay = 0) => after(Math.max(1, delay), act)) as unknown as typeof setTimeout;
    globalThis.clearTimeout = ((cancel?: () => void) => cancel?.()) as unknown as typeof clearTimeout;

    return {
        now: () => milliseconds(now),
        after,
        async runUntil(end) {
            await settle();
            while (timers.length > 0 && timers[0].at <= end) {
                now = Math.max(now, timers[0].at);
                timers.shift()!.act();
                await settle();
            }
            now = end;
        },
        end() {
            globalThis.setTimeout = realSet;
            globalThis.clearTimeout = realClear;
        },
    };

    function after(delay: number, act: () => void): () => void {
        const timer = { at: now + Math.max(0, delay), order: count++, act };
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

    /** Promises that are settled act before the next turn of the event loop. */
    function settle(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}
