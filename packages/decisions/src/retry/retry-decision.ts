/**
 * Decides whether a request is sent to another server after an attempt ended.
 *
 * A guarantee to callers depends on it: a request that may not run twice is never
 * sent again once a server may have run it. Owns the order of the checks: the retry
 * budget is consumed last, so that no retry is spent on a request that can't be
 * retried anyway.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { isGuaranteeStatus, type RefusalKind } from "../refusals/refusals.js";
import { isFailureStatus } from "./answer-class.js";

/** How an attempt ended, as far as a retry depends on it. */
export type AttemptEnd =
    /**
     * The server answered. `isVerified`: the answer carries the server's stamp, so a success really comes from the
     * server.
     */
    | { readonly kind: "answered"; readonly status: number; readonly isVerified: boolean; }
    /** The server reports that it did not run the request. */
    | { readonly kind: "notRun"; }
    /** Nothing reached the server. */
    | { readonly kind: "notSent"; }
    /** The request may have run, but there is no complete answer. */
    | { readonly kind: "broken"; };

/** What is known of the request when an attempt has ended. */
export interface RetryInputs {
    /** The request may run more than once. */
    readonly isIdempotent: boolean;
    /** Maximum number of servers that a request of the route may be sent to. */
    readonly maxAttempts: number;
    /** Attempts that reached a server, this one included. */
    readonly sent: number;
    /** Attempts that reached no server, this one included. */
    readonly notSent: number;
    /** Time until the request's deadline. */
    readonly timeLeft: Milliseconds;
    /**
     * Consumes one retry of the service's budget; false if none is left. Called only if everything else allows the
     * retry.
     */
    readonly consumeRetry: () => boolean;
}

/** What happens to the request next. */
export type RetryDecision =
    /** The answer is forwarded to the caller. */
    | { readonly kind: "finalAnswer"; }
    /** Another server is chosen and tried. */
    | { readonly kind: "tryNext"; }
    /** The caller gets the latest answer of a server, or the refusal if there was none. */
    | { readonly kind: "giveUp"; readonly refusal: RefusalKind; };

/**
 * Maximum number of attempts that reach no server. They consume no budget, only time: at 250 ms per connection, four of
 * them take a second, about a third of the shortest deadline of callers.
 */
const maxNotSent = 4;
/** Minimum time left for another attempt, in milliseconds: a round trip within a region. */
const minTimeLeft = 20;

/** Decides what happens after an attempt. */
export function decideRetry(end: AttemptEnd, inputs: RetryInputs): RetryDecision {
    if (end.kind === "answered" && isFinalAnswer(end, inputs.isIdempotent)) {
        return { kind: "finalAnswer" };
    }
    if (end.kind === "broken" && !inputs.isIdempotent) {
        return { kind: "giveUp", refusal: "brokenOff" };
    }
    const refusal = refusalInsteadOfRetry(end, inputs);
    return refusal === undefined ? { kind: "tryNext" } : { kind: "giveUp", refusal };
}

/**
 * An answer is final unless the request may run again and the answer is a failure, unverified, or guarantees without
 * proof that the request has not run.
 */
export function isFinalAnswer(
    { isVerified, status }: Pick<AttemptEnd & { readonly kind: "answered"; }, "isVerified" | "status">,
    isIdempotent: boolean,
): boolean {
    return !isFailureStatus(status) && !isGuaranteeStatus(status) && isVerified || !isIdempotent;
}

function refusalInsteadOfRetry(end: AttemptEnd, inputs: RetryInputs): RefusalKind | undefined {
    if (inputs.timeLeft < minTimeLeft) {
        return inputs.sent > 0 ? "timedOut" : "timedOutUnsent";
    }
    if (end.kind === "notSent") {
        return inputs.notSent >= maxNotSent ? "unreachable" : undefined;
    }
    if (inputs.sent >= inputs.maxAttempts) {
        return end.kind === "notRun" ? "serversFull" : "brokenOff";
    }
    return inputs.consumeRetry() ? undefined : "budgetSpent";
}
