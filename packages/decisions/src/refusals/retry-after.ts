/**
 * Computes Retry-After for requests that servers refused, or for which no retry was
 * left in the budget: almost at once if the service has free slots, else when its
 * queues are expected to have shrunk.
 *
 * A server that refuses requests at random although it has free slots accepts the
 * next one as likely as any; a caller that waits 0.7 s first would get its answer late
 * in any case.
 *
 * Owns no state; the other kinds of refusal use the time of the table `refusals`.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type RefusalKind, refusals } from "./refusals.js";

/** Load of the service on which the time depends. */
export interface RetryAfterInputs {
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: number;
    /** Mean processing time of the requests that wait; see `WorkEstimate.expectedOfQueued`. */
    readonly queuedWork: Milliseconds;
}

/** Load per slot up to which most requests find a free slot: servers queue above 1, and load is not spread evenly. */
const maxLoadWithFreeSlots = 0.8;
/** Minimum time in milliseconds, so that callers don't retry within the same turn of the box's event loop. */
const minRetryAfter = 50;
/** Milliseconds per second. */
const second = 1000;
/**
 * Milliseconds over which callers are spread after a back-off: the first server available again would otherwise get all
 * of them at once.
 */
const backoffSpread = 500;
/**
 * Maximum Retry-After in milliseconds while all servers have asked this box to back off: the caller may reach another
 * box, from which the servers accept requests sooner.
 */
const maxAfterBackoff = 2000;

/**
 * Returns the time for a request whose servers have all asked this box to back off: until the first back-off ends, in
 * `firstEndsIn`, plus a random part of the spread. `random` is from 0 to 1.
 */
export function retryAfterBackoff(firstEndsIn: Milliseconds, random: number): Milliseconds {
    const earliest = Math.max(minRetryAfter, Math.min(firstEndsIn, maxAfterBackoff - backoffSpread));
    return milliseconds(earliest + backoffSpread * random);
}

/** Returns the time for a refusal; undefined if a retry cannot help. */
export function retryAfterRefusal(refusal: RefusalKind, inputs: RetryAfterInputs): Milliseconds | undefined {
    const { retryAfterSeconds: retryAfter } = refusals[refusal];
    if (retryAfter === undefined) {
        return undefined;
    }
    const maxRetryAfter = retryAfter * second;
    if (refusal !== "serversFull" && refusal !== "budgetSpent") {
        return milliseconds(maxRetryAfter);
    }
    const queueDrainTime = Math.max(0, inputs.loadPerSlot - maxLoadWithFreeSlots) * inputs.queuedWork;
    return milliseconds(Math.min(maxRetryAfter, Math.max(minRetryAfter, queueDrainTime)));
}
