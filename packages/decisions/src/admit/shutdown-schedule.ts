/**
 * How a planned stop advances within its grace: new work at first, since
 * callers still hold the box's address; then only the work in flight; then the
 * end, before the process would be killed.
 *
 * Owns no state; the planned stop asks it as time passes.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Phases of a box's life. */
export type ShutdownPhase = "running" | "leaving" | "closing";

/**
 * Part of the grace after which new work is refused: 2.4 s of 6 s, longer than the 2 s for which callers keep
 * an answer of the directory.
 */
const takeWorkPart = 0.4;
/** Part after which the process ends whatever still runs: 0.3 s of 6 s remain for the end itself. */
const endPart = 0.95;
/** Part for which the process stays after its last answer, so that callers can read it. */
const lingerPart = 0.1;

/** The times of one stop. `elapsed` counts from the signal to stop. */
export interface ShutdownSchedule {
    /** How long new work is taken. */
    readonly acceptRequestsFor: Milliseconds;
    /** True once the box need not wait for work in flight any more. */
    readonly isDrainOver: (elapsed: Milliseconds, inFlight: number) => boolean;
    /** How long the process stays once the wait is over. */
    readonly lingerFor: (elapsed: Milliseconds) => Milliseconds;
}

/** Creates the schedule for a grace, the time between the signal to stop and the kill. */
export function createShutdownSchedule(grace: Milliseconds): ShutdownSchedule {
    return {
        acceptRequestsFor: milliseconds(grace * takeWorkPart),
        isDrainOver: (elapsed, inFlight) => inFlight === 0 || elapsed >= grace * endPart,
        lingerFor: elapsed => milliseconds(Math.min(grace * lingerPart, Math.max(0, grace * endPart - elapsed))),
    };
}
