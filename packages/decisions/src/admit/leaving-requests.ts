/**
 * Decides whether a box that shuts down may still send a request to a server.
 *
 * A request that is refused before anything was sent costs its caller a retry at another box. One that is still at a
 * server when the box exits leaves its caller without an answer, and one that may not be repeated is lost then.
 *
 * Owns no state.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { ShutdownPhase } from "./shutdown-schedule.js";

/** What is known of a box and of a request that it is about to send. */
export interface LeavingRequestInputs {
    readonly phase: ShutdownPhase;
    /** Time in which the box can still answer; infinite while it runs. */
    readonly timeToAnswer: Milliseconds;
    /** Time after which the request ends in any case: its caller's deadline, or its route's timeout. */
    readonly timeLimit: Milliseconds;
    /** Upper bound of the expected time of a server's work; 0 if nothing is known of it. */
    readonly expectedWork: Milliseconds;
    /** A server may have run the request already: it can't be refused as not run. */
    readonly mayHaveRun: boolean;
}

/** True if the request may be sent. */
export function mayBeSentWhileLeaving(inputs: LeavingRequestInputs): boolean {
    const { expectedWork, mayHaveRun, phase, timeLimit, timeToAnswer } = inputs;
    const certainlyEnds = timeLimit <= timeToAnswer;
    const isExpectedToEnd = expectedWork <= timeToAnswer;
    switch (phase) {
        case "running":
            return true;
        case "leaving":
            return certainlyEnds || isExpectedToEnd;
        case "closing":
            return certainlyEnds || mayHaveRun && isExpectedToEnd;
        case "drained":
            return false;
    }
}
