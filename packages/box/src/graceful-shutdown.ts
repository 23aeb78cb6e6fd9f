/**
 * Carries out the planned stop of a box.
 *
 * Owns the phase of the box's life; when each phase ends is decided by the stop schedule.
 */

import { createShutdownSchedule, type ShutdownPhase } from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";

export interface GracefulShutdownOptions {
    readonly clock: Clock;
    readonly log: Log;
    /** Time between the signal to stop and the kill. */
    readonly grace: Milliseconds;
    readonly inFlight: () => number;
    /** Called at once when the stop begins. */
    readonly onLeaving: () => void;
    /** Called when new work is no longer taken. */
    readonly onClosing: () => void;
}

/** The stop of one box. */
export interface GracefulShutdown {
    readonly phase: () => ShutdownPhase;
    /** Resolves when the process may end. */
    readonly begin: () => Promise<void>;
}

/** Milliseconds between two looks at the work in flight; short beside the grace of some seconds. */
const checkInterval = 50;

/** Creates the stop; nothing happens until it begins. */
export function createGracefulShutdown(options: GracefulShutdownOptions): GracefulShutdown {
    const { clock, log } = options;
    const schedule = createShutdownSchedule(options.grace);
    const never = new AbortController().signal;
    let phase: ShutdownPhase = "running";

    return {
        phase: () => phase,
        async begin() {
            const startedAt = clock();
            const elapsed = () => milliseconds(clock() - startedAt);
            phase = "leaving";
            log.info("stop.leaving", { inFlight: options.inFlight() });
            options.onLeaving();
            await sleep(schedule.acceptRequestsFor, never);
            phase = "closing";
            options.onClosing();
            while (!schedule.isDrainOver(elapsed(), options.inFlight())) {
                await sleep(checkInterval, never);
            }
            await sleep(schedule.lingerFor(elapsed()), never);
            log.info("stop.ended", { inFlight: options.inFlight(), after: Math.round(elapsed()) });
        },
    };
}
