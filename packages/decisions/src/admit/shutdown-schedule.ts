/**
 * The phases of a graceful shutdown within its grace period: first the box still admits new requests, since callers
 * hold its address; then only those that certainly end before it does; then, once none is in progress, it lets callers
 * read the last answers, and exits before it would be killed.
 *
 * Owns no state; the shutdown asks it as time passes.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/**
 * Phases of a box's process. In `leaving` it admits new requests that are expected to end in time, in `closing` only
 * those that certainly do (see `leaving-requests`), and in `drained` none: it exits soon, whatever it would have in
 * progress.
 */
export type ShutdownPhase = "running" | "leaving" | "closing" | "drained";

/** Fraction of the grace period for which the phase `leaving` lasts at most. */
const leavingFraction = 0.4;
/** Milliseconds after which no box hands out the address of a box that is leaving. */
const announcementTime = 500;
/**
 * Fraction of the grace period within which requests must be answered; what remains is for callers to read the answers,
 * and for the exit.
 */
const answerFraction = 0.9;
/**
 * Fraction of the grace period after which requests in flight are aborted. Of 6 s, 0.3 s remain for the exit itself.
 */
const drainFraction = 0.95;
/** Fraction of the grace period for which the process stays after its last answer, so that callers can read it. */
const lingerFraction = 0.1;

/** The times of one shutdown. `elapsed` is the time since the termination signal. */
export interface ShutdownSchedule {
    /** How long the phase `leaving` lasts. */
    readonly leavingFor: Milliseconds;
    /** Time that is left for answers. */
    readonly timeToAnswer: (elapsed: Milliseconds) => Milliseconds;
    /** True once the box no longer waits for requests in flight. */
    readonly isDrainOver: (elapsed: Milliseconds, inFlight: number) => boolean;
    /** How long the process stays once the drain is over. */
    readonly lingerFor: (elapsed: Milliseconds) => Milliseconds;
}

/** What the schedule depends on. */
export interface ShutdownScheduleInputs {
    /** Time between the termination signal and the kill. */
    readonly gracePeriod: Milliseconds;
    /** How long callers may use the addresses that a look-up has returned. */
    readonly lookupLifetime: Milliseconds;
}

/** Creates the schedule of a shutdown. */
export function createShutdownSchedule({ gracePeriod, lookupLifetime }: ShutdownScheduleInputs): ShutdownSchedule {
    return {
        leavingFor: milliseconds(Math.min(gracePeriod * leavingFraction, lookupLifetime + announcementTime)),
        timeToAnswer: elapsed => milliseconds(Math.max(0, gracePeriod * answerFraction - elapsed)),
        isDrainOver: (elapsed, inFlight) => inFlight === 0 || elapsed >= gracePeriod * drainFraction,
        lingerFor: elapsed =>
            milliseconds(Math.min(gracePeriod * lingerFraction, Math.max(0, gracePeriod * drainFraction - elapsed))),
    };
}
