/**
 * The phases of a graceful shutdown within its grace period: first the box still admits new requests, since callers
 * hold its address; then it only drains requests in flight; then the process exits, before it would be killed.
 *
 * Owns no state; the shutdown asks it as time passes.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Phases of a box's process: in `leaving` it still admits new requests, in `closing` it only drains. */
export type ShutdownPhase = "running" | "leaving" | "closing";

/**
 * Fraction of the grace period during which new requests are admitted: 2.4 s of 6 s, longer than the 2 s for which
 * callers keep an answer of the directory.
 */
const admitFraction = 0.4;
/**
 * Fraction of the grace period after which requests in flight are aborted. Of 6 s, 0.3 s remain for the exit itself.
 */
const drainFraction = 0.95;
/** Fraction of the grace period for which the process stays after its last answer, so that callers can read it. */
const lingerFraction = 0.1;

/** The times of one shutdown. `elapsed` is the time since the termination signal. */
export interface ShutdownSchedule {
    /** How long new requests are admitted. */
    readonly acceptRequestsFor: Milliseconds;
    /** True once the box no longer waits for requests in flight. */
    readonly isDrainOver: (elapsed: Milliseconds, inFlight: number) => boolean;
    /** How long the process stays once the drain is over. */
    readonly lingerFor: (elapsed: Milliseconds) => Milliseconds;
}

/** Creates the schedule for a grace period, the time between the termination signal and the kill. */
export function createShutdownSchedule(gracePeriod: Milliseconds): ShutdownSchedule {
    return {
        acceptRequestsFor: milliseconds(gracePeriod * admitFraction),
        isDrainOver: (elapsed, inFlight) => inFlight === 0 || elapsed >= gracePeriod * drainFraction,
        lingerFor: elapsed =>
            milliseconds(Math.min(gracePeriod * lingerFraction, Math.max(0, gracePeriod * drainFraction - elapsed))),
    };
}
