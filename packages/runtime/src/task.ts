/**
 * Work that is due again and again, driven by steps of an injected clock.
 *
 * No timer runs in here: a program steps its tasks several times a second,
 * and a session on a manual clock steps them by hand.
 */

import type { Clock, Milliseconds } from "@chalkdale/core";

/** Something that is given time by its owner. */
export interface Stepped {
    readonly step: () => void;
}

export interface TaskOptions {
    readonly clock: Clock;
    /** Milliseconds from the end of one run to the start of the next; read at every step. */
    readonly interval: () => number;
    /** No run starts once it has aborted; it is passed to each run. */
    readonly signal: AbortSignal;
    /** Told of a run that failed; the next one is due as usual. */
    readonly onFailure: (error: unknown) => void;
}

/** Creates a task that runs at the first step and then at its interval, never twice at once. */
export function createTask(options: TaskOptions, run: (signal: AbortSignal) => Promise<void>): Stepped {
    let running = false;
    let endedAt: Milliseconds | undefined;

    return {
        step() {
            const due = endedAt === undefined || options.clock() - endedAt >= options.interval();
            if (running || !due || options.signal.aborted) {
                return;
            }
            running = true;
            void run(options.signal).catch(reportFailure).finally(() => {
                running = false;
                endedAt = options.clock();
            });
        },
    };

    function reportFailure(error: unknown): void {
        if (!options.signal.aborted) {
            options.onFailure(error);
        }
    }
}
