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
    /** Expected time of a server's work. */
    readonly expectedWork: Milliseconds;
    /** A server may have run the request already: it can't be refused as not run. */
    readonly mayHaveRun: boolean;
}

/** True if the request may be sent. */
export function mayBeSentWhileLeaving(inputs: LeavingRequestInputs): boolean {
    const { expectedWork, phase, timeLimit, timeToAnswer } = inputs;
    if (phase === "running" || timeLimit <= timeToAnswer) {
        return true;
    }
    const mayOutlastBox = phase === "leaving" || inputs.mayHaveRun;
    return mayOutlastBox && expectedWork <= timeToAnswer;
}
