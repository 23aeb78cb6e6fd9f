/**
 * Streams of `most` and waits that end with an abort signal.
 */

import { fromPromise, periodic, type Stream } from "most";

/** Returns a stream with an event every so many milliseconds until the signal aborts. */
export function intervalStream(interval: number, signal: AbortSignal): Stream<undefined> {
    const aborted = new Promise<void>(resolve => {
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
    return periodic(interval).constant(undefined).until(fromPromise(aborted));
}

/** Resolves after so many milliseconds, or at once when the signal aborts. */
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
