/**
 * Timers that end with an abort signal: a stream of `most`, and a promise.
 */

import { fromPromise, periodic, type Stream } from "most";
import { nextPoll } from "./next-poll.js";

/**
 * Returns a stream that emits at once and then at each interval, in milliseconds, until the signal aborts; each time
 * after what has arrived was read, since a timer that is late runs before that.
 */
export function intervalStream(interval: number, signal: AbortSignal): Stream<undefined> {
    const aborted = new Promise<void>(resolve => {
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
    return periodic(interval).map(() => nextPoll()).awaitPromises().constant(undefined).until(fromPromise(aborted));
}

/** Resolves after a duration in milliseconds, or as soon as the signal aborts; never rejects. */
export function sleep(duration: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        const done = () => {
            clearTimeout(timer);
            signal.removeEventListener("abort", done);
            resolve();
        };
        const timer = setTimeout(done, duration);
        signal.addEventListener("abort", done, { once: true });
    });
}
