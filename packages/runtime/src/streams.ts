/**
 * Bridges between callbacks and streams of `most`.
 */

import { periodic, type Stream } from "most";
import * as most from "most";

/** A stream and the function that puts events into it. */
export interface EventSource<Event> {
    readonly stream: Stream<Event>;
    readonly emit: (event: Event) => void;
}

type Sink<Event> = {
    event: (time: number, value: Event) => void;
    end: (time: number, value?: Event) => void;
    error: (time: number, reason: Error) => void;
};

type Scheduler = { now: () => number; };

/** Creates a stream that ends when the signal aborts. Events sent before anyone observes are lost. */
export function createEventSource<Event>(signal: AbortSignal): EventSource<Event> {
    const sinks = new Set<{ sink: Sink<Event>; scheduler: Scheduler; }>();
    const source = {
        run(sink: Sink<Event>, scheduler: Scheduler) {
            const entry = { sink, scheduler };
            sinks.add(entry);
            return {
                dispose: () => {
                    sinks.delete(entry);
                },
            };
        },
    };
    signal.addEventListener("abort", () => {
        sinks.forEach(({ sink, scheduler }) => sink.end(scheduler.now()));
        sinks.clear();
    }, { once: true });
    const StreamOf = (most as unknown as { Stream: new(source: unknown) => Stream<Event>; }).Stream;
    return {
        stream: new StreamOf(source),
        emit(event) {
            sinks.forEach(({ sink, scheduler }) => sink.event(scheduler.now(), event));
        },
    };
}

/** Returns a stream with an event every so many milliseconds until the signal aborts. */
export function every(interval: number, signal: AbortSignal): Stream<undefined> {
    const ended = createEventSource<undefined>(signal);
    const aborted = new Promise<void>(resolve => {
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
    return periodic(interval).constant(undefined).until(most.fromPromise(aborted)).merge(ended.stream);
}

/**
 * Runs a task again and again with a pause in between until the signal
 * aborts. A failure is handed to `onFailure` and does not end the loop.
 */
export async function repeat(
    pause: number,
    signal: AbortSignal,
    task: () => Promise<void>,
    onFailure: (error: unknown) => void,
): Promise<void> {
    while (!signal.aborted) {
        try {
            await task();
        }
        catch (error) {
            if (!signal.aborted) {
                onFailure(error);
            }
        }
        await sleep(pause, signal);
    }
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
