/**
 * Decides whether a request is hedged: sent to a second server while the first
 * one has not answered yet.
 *
 * Servers lose answers, and some become many times slower than they were. A box cannot
 * distinguish the two cases, and without hedging the request would wait until its
 * deadline. A hedged attempt counts as an attempt like any other: it is bounded by the
 * route's attempts and by the service's retry budget, which is consumed last.
 *
 * Owns no state.
 *
 * Method: hedged requests, Dean and Barroso, "The Tail at Scale", 2013.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { Choice, ChosenServer } from "../choose/choice.js";

/** What is known of a request whose answer is overdue. */
export interface HedgeInputs {
    /** The request may run more than once. */
    readonly isIdempotent: boolean;
    /** Maximum number of servers that a request of the route may be sent to. */
    readonly maxAttempts: number;
    /** Attempts that reached a server, the overdue one included. */
    readonly sent: number;
    /** Time until the request's deadline. */
    readonly timeLeft: Milliseconds;
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: number;
    /** Chooses among the servers that have not been tried for the request. */
    readonly chooseSecond: () => Choice;
    /** Consumes one retry of the service's budget; false if none is left. */
    readonly consumeRetry: () => boolean;
}

/** Load per slot from which requests are not hedged: no slot is free, so a second copy would delay other requests. */
const maxLoadPerSlot = 1;

/** True if the request may be hedged at all; `decideHedge` decides once it is overdue. */
export function mayBeHedged({ isIdempotent, maxAttempts, sent }: Omit<HedgeInputs, "chooseSecond">): boolean {
    return isIdempotent && sent < maxAttempts;
}

/** Returns the second server for an overdue request; undefined if it keeps waiting for the first one alone. */
export function decideHedge(inputs: HedgeInputs): ChosenServer | undefined {
    if (!mayBeHedged(inputs) || inputs.loadPerSlot >= maxLoadPerSlot) {
        return undefined;
    }
    const second = inputs.chooseSecond();
    if (second.kind !== "chosen" || second.wait > 0 || second.expected > inputs.timeLeft) {
        return undefined;
    }
    return inputs.consumeRetry() ? second : undefined;
}
