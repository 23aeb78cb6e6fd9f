/**
 * The planned stop of a box: no longer ready at once, new work for a while
 * since callers still hold its address, then only the work in flight, then the
 * end before the grace is over.
 */

import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";

/** Phases of a box's life. */
type StopPhase = "running" | "leaving" | "closing";

export interface PlannedStopOptions {
    readonly clock: Clock;
    readonly log: Log;
    /** Time between the signal to stop and the kill. */
    readonly grace: Milliseconds;
    readonly inFlight: () => number;
    /** Told at once when the stop begins. */
    readonly onLeaving: () => void;
    /** Told when new work is no longer taken. */
    readonly onClosing: () => void;
}

/** The stop of one box. */
export interface PlannedStop {
    readonly phase: () => StopPhase;
    /** Resolves when the process may end. */
    readonly begin: () => Promise<void>;
}

/** Parts of the grace after which new work is refused, and after which the process ends whatever runs. */
const takeWorkPart = 0.4;
const endPart = 0.95;
/** Part of the grace for which the process stays after its last answer, so that callers can read it. */
const lingerPart = 0.1;
const checkInterval = 50;

/** Creates the stop; nothing happens until it begins. */
export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
    const { clock, grace, log } = options;
    const never = new AbortController().signal;
    let phase: StopPhase = "running";

    return {
        phase: () => phase,
        async begin() {
            const startedAt = clock();
            phase = "leaving";
            log.info("stop.leaving", { inFlight: options.inFlight() });
            options.onLeaving();
            await sleep(grace * takeWorkPart, never);
            phase = "closing";
            options.onClosing();
            while (options.inFlight() > 0 && clock() - startedAt < grace * endPart) {
                await sleep(checkInterval, never);
            }
            await sleep(Math.min(grace * lingerPart, Math.max(0, grace * endPart - (clock() - startedAt))), never);
            log.info("stop.ended", { inFlight: options.inFlight(), after: Math.round(clock() - startedAt) });
        },
    };
}
