/**
 * Whether a request is sent to another server after an attempt ended.
 *
 * Rests on two promises to callers: a request that may not run twice is never
 * sent again once a server may have run it, and a refusal with 503 means that
 * nothing ran. Owns the order in which the obstacles are asked; the retry
 * budget is taken last, so that nothing is spent on a retry that can't be made.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { RefusalKind } from "../refusals/refusals.js";
import { isFailureStatus } from "./answer-class.js";

/** How an attempt ended, as far as a retry depends on it. */
export type AttemptEnd =
    /** The server answered. `isVerified`: a success carries the server's own stamp. */
    | { readonly kind: "answered"; readonly status: number; readonly isVerified: boolean; }
    /** The server says that it did not run the request. */
    | { readonly kind: "notRun"; }
    /** Nothing reached the server. */
    | { readonly kind: "notSent"; }
    /** The request may have run; there is no whole answer. */
    | { readonly kind: "broken"; };

/** What is known of the request when an attempt has ended. */
export interface RetryInputs {
    /** The request may run more than once. */
    readonly isIdempotent: boolean;
    /** Most servers that the route's requests may be sent to. */
    readonly maxAttempts: number;
    /** Attempts that reached a server, this one included. */
    readonly sent: number;
    /** Attempts that reached none, this one included. */
    readonly notSent: number;
    /** Time until the request must be answered. */
    readonly timeLeft: Milliseconds;
    /** Takes one retry from the service's budget; false if none is left. Asked only when all else allows the retry. */
    readonly consumeRetry: () => boolean;
}

/** What follows. */
export type RetryDecision =
    /** The answer goes back to the caller. */
    | { readonly kind: "finalAnswer"; }
    /** Another server is chosen. */
    | { readonly kind: "tryNext"; }
    /** The last server's answer goes back if there is one, else the refusal. */
    | { readonly kind: "giveUp"; readonly refusal: RefusalKind; };

/**
 * Attempts that reach no server at most. They cost no budget, only time: with 250 ms for each connection four take a
 * second, about a third of the shortest deadline that was seen.
 */
const mostNotSent = 4;
/** Milliseconds that must be left for another attempt: a way there and back within a region. */
const leastTimeLeft = 20;

/** Decides what follows an attempt. */
export function decideRetry(end: AttemptEnd, inputs: RetryInputs): RetryDecision {
    if (end.kind === "answered" && isFinal(end, inputs.isIdempotent)) {
        return { kind: "finalAnswer" };
    }
    if (end.kind === "broken" && !inputs.isIdempotent) {
        return { kind: "giveUp", refusal: "brokenOff" };
    }
    const obstacle = obstacleToRetry(end, inputs);
    return obstacle === undefined ? { kind: "tryNext" } : { kind: "giveUp", refusal: obstacle };
}

/** An answer ends the request unless it is a failure, or unverified, and the request may run again. */
function isFinal(answer: AttemptEnd & { readonly kind: "answered"; }, isIdempotent: boolean): boolean {
    return !isFailureStatus(answer.status) && answer.isVerified || !isIdempotent;
}

function obstacleToRetry(end: AttemptEnd, inputs: RetryInputs): RefusalKind | undefined {
    if (inputs.timeLeft < leastTimeLeft) {
        return inputs.sent > 0 ? "timedOut" : "timedOutUnsent";
    }
    if (end.kind === "notSent") {
        return inputs.notSent >= mostNotSent ? "unreachable" : undefined;
    }
    if (inputs.sent >= inputs.maxAttempts) {
        return end.kind === "notRun" ? "serversFull" : "brokenOff";
    }
    return inputs.consumeRetry() ? undefined : "budgetSpent";
}
