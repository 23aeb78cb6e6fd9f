/**
 * Waits until the event loop has read what has arrived on its sockets.
 *
 * One poll of the event loop reads each socket once: the data that is there, or its end. So after the process was paused
 * or starved, code that runs at the first data acts on a part of what has arrived already. Relies on the order of the
 * loop of Node.js: it polls all sockets between two runs of `setImmediate` callbacks.
 */

import type { Clock } from "@chalkdale/kernel";
import { monotonicClock } from "./clock.js";

/** Milliseconds from the beginning of a poll for which its results are up to date. */
const maxPollAge = 50;
/** Polls after which the wait ends in any case, so that a process that is always late goes on. */
const maxPolls = 8;

/** Resolves once a poll has ended that began after the call and recently. Never rejects. */
export function nextPoll(clock: Clock = monotonicClock): Promise<void> {
    return new Promise(resolve => {
        let polls = 0;
        let polledAfter: number | undefined;
        setImmediate(onPolled);

        function onPolled(): void {
            const now = clock();
            if (polledAfter !== undefined) {
                polls += 1;
                if (now - polledAfter <= maxPollAge || polls >= maxPolls) {
                    resolve();
                    return;
                }
            }
            polledAfter = now;
            setImmediate(onPolled);
        }
    });
}

/**
 * Calls `onTimeout` once a duration in milliseconds has passed and what had arrived by then was read: the loop runs
 * expired timers first. Returns the function that cancels the call.
 */
export function startTimeout(duration: number, onTimeout: () => void): () => void {
    let isCancelled = false;
    const timer = setTimeout(() => void onExpired(), duration);
    return () => {
        isCancelled = true;
        clearTimeout(timer);
    };

    async function onExpired(): Promise<void> {
        await nextPoll();
        if (!isCancelled) {
            onTimeout();
        }
    }
}
