/**
 * Shuts a box down gracefully.
 *
 * Owns the phase of the box; the shutdown schedule decides when each phase ends.
 */

import { createShutdownSchedule, type ShutdownPhase } from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";

export interface GracefulShutdownOptions {
    readonly clock: Clock;
    readonly log: Log;
    /** Time between the termination signal and the kill. */
    readonly grace: Milliseconds;
    /** How long callers may use the addresses that a look-up has returned. */
    readonly lookupLifetime: Milliseconds;
    /** Returns the number of requests whose answers have not left the process yet. */
    readonly inFlight: () => number;
    /** Called as soon as the shutdown begins. */
    readonly onLeaving: () => void;
    /** Called when new requests are accepted only if they certainly end in time. */
    readonly onClosing: () => void;
}

/** The graceful shutdown of one box. */
export interface GracefulShutdown {
    readonly phase: () => ShutdownPhase;
    /** Time in which the box can still answer; infinite while it runs. */
    readonly timeToAnswer: () => Milliseconds;
    /** Starts the shutdown; resolves when the process may exit. */
    readonly begin: () => Promise<void>;
}

/** Milliseconds between two checks of the requests in flight; short compared with a grace period of some seconds. */
const drainCheckInterval = 50;

/** Creates the shutdown; it does nothing until `begin` is called. */
export function createGracefulShutdown(options: GracefulShutdownOptions): GracefulShutdown {
    const { clock, log } = options;
    const schedule = createShutdownSchedule({
        gracePeriod: options.grace,
        lookupLifetime: options.lookupLifetime,
    });
    const neverAborted = new AbortController().signal;
    let phase: ShutdownPhase = "running";
    let startedAt: Milliseconds | undefined;

    return {
        phase: () => phase,
        timeToAnswer: () => startedAt === undefined ? milliseconds(Infinity) : schedule.timeToAnswer(elapsed()),
        async begin() {
            startedAt = clock();
            phase = "leaving";
            log.info("stop.leaving", { inFlight: options.inFlight() });
            options.onLeaving();
            await sleep(schedule.leavingFor, neverAborted);
            phase = "closing";
            options.onClosing();
            while (!schedule.isDrainOver(elapsed(), options.inFlight())) {
                await sleep(drainCheckInterval, neverAborted);
            }
            phase = "drained";
            log.info("stop.drained", { inFlight: options.inFlight(), after: Math.round(elapsed()) });
            await sleep(schedule.lingerFor(elapsed()), neverAborted);
            log.info("stop.ended", { inFlight: options.inFlight(), after: Math.round(elapsed()) });
        },
    };

    /** Time since the shutdown began. */
    function elapsed(): Milliseconds {
        return milliseconds(clock() - (startedAt ?? clock()));
    }
}
