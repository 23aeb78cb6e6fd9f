/**
 * Whether a request goes to a second server while the first one still has it.
 *
 * Servers lose answers, and some are many times slower than they were: a request
 * then waits until its time is over, since a server that is slow and one whose
 * answer is lost look alike. A second server answers meanwhile. It is an attempt
 * like any other: within the route's attempts and the service's budget, which is
 * taken last. Owns no state.
 *
 * The method: hedged requests, Dean and Barroso, "The Tail at Scale", 2013.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { Choice, ChosenServer } from "../choose/choice.js";

/** What is known of a request whose server is overdue. */
export interface HedgeInputs {
    /** The request may run more than once. */
    readonly isIdempotent: boolean;
    /** Most servers that the route's requests may be sent to. */
    readonly maxAttempts: number;
    /** Attempts that reached a server, the overdue one included. */
    readonly sent: number;
    /** Time until the request must be answered. */
    readonly timeLeft: Milliseconds;
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: number;
    /** Chooses among the servers that the request has not been sent to. */
    readonly chooseSecond: () => Choice;
    /** Takes one retry from the service's budget; false if none is left. */
    readonly consumeRetry: () => boolean;
}

/** Load per slot from which a second copy of a request keeps others waiting: one waits for each slot. */
const shortOfSlots = 1;

/** True for a request that may get a second server at all. */
export function mayBeHedged({ isIdempotent, maxAttempts, sent }: Omit<HedgeInputs, "chooseSecond">): boolean {
    return isIdempotent && sent < maxAttempts;
}

/** Returns the second server for a request whose first one is overdue; undefined if it goes on waiting for that one alone. */
export function decideHedge(inputs: HedgeInputs): ChosenServer | undefined {
    if (!mayBeHedged(inputs) || inputs.loadPerSlot >= shortOfSlots) {
        return undefined;
    }
    const second = inputs.chooseSecond();
    if (second.kind !== "chosen" || second.wait > 0 || second.expected > inputs.timeLeft) {
        return undefined;
    }
    return inputs.consumeRetry() ? second : undefined;
}
