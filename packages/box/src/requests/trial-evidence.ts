/**
 * What the end of a try says of the version of its server: a success with its
 * time, a failure, or nothing.
 *
 * Refusals for the load, and connections that were never up or had rested too
 * long, say nothing of a version.
 *
 * Pure.
 */

import { isFailureStatus, overdueTime, type TrialAnswer } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { ServerAnswer } from "../servers/exchange.js";
import type { AttemptOutcome } from "./attempt-request.js";

/** What is known of the try besides its outcome. */
export interface TryFacts {
    /** Time needed over time expected; undefined without a success. */
    readonly slowness: number | undefined;
    /** Expected time until the answer of a server of ordinary speed. */
    readonly expected: Milliseconds;
    /** Time since the request was sent. */
    readonly took: Milliseconds;
    /** True if a success is the server's own and in the coding that was asked for. */
    readonly isVerified: (answer: ServerAnswer) => boolean;
}

/** HTTP's status of a server whose request ran out of time: its fault only once it is overdue. */
const statusDeadline = 504;

const failure = { isFailure: true, slowness: 1 };

/** Returns the evidence; undefined if there is none. */
export function trialEvidence(
    outcome: AttemptOutcome,
    facts: TryFacts,
): Pick<TrialAnswer, "isFailure" | "slowness"> | undefined {
    const isOverdue = facts.took >= overdueTime(facts.expected);
    switch (outcome.kind) {
        case "notSent":
        case "notRun":
            return undefined;
        case "broken":
            return outcome.wasForgotten ? undefined : failure;
        case "cancelled":
            return isOverdue ? failure : undefined;
        case "answered":
            return evidenceOfAnswer(outcome.answer, facts, isOverdue);
    }
}

function evidenceOfAnswer(answer: ServerAnswer, { isVerified, slowness }: TryFacts, isOverdue: boolean) {
    if (slowness !== undefined) {
        return isVerified(answer) ? { isFailure: false, slowness } : failure;
    }
    const isExcused = answer.status === statusDeadline && !isOverdue;
    return isFailureStatus(answer.status) && !isExcused ? failure : undefined;
}
