/**
 * When a caller may come back whose request servers turned away, or for which no
 * retry was left: at once if the service has free slots, else when its queues
 * are expected to have room.
 *
 * Servers that turn requests away at random, with slots free, take the next one
 * as likely as any; a caller that is told to wait 0.7 s has its answer late for sure.
 *
 * Owns no state; other kinds of refusal have their time in the table.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type RefusalKind, refusals } from "./refusals.js";

/** What is known of the service. */
export interface RetryAfterInputs {
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: number;
    /** Time of the work of those that wait; see `WorkEstimate.expectedOfQueued`. */
    readonly queuedWork: Milliseconds;
}

/** Load per slot up to which a slot is free for most: servers queue beyond one, and load is not spread evenly. */
const roomyLoad = 0.8;
/** Milliseconds: the least time, so that callers do not come back while the same turn of a box is under way. */
const soonest = 50;
/** Milliseconds of a second. */
const second = 1000;
/** Milliseconds over which callers are spread for whom one server is back before the others. */
const backoffSpread = 500;
/** Milliseconds after which a caller may come back at the latest: another box may be wanted before this one. */
const longestAfterBackoff = 2000;

/**
 * Returns the time for a request whose servers want nothing from this box: until the first of them is back, spread by `chance`,
 * which is from 0 to 1.
 */
export function retryAfterBackoff(firstBackIn: Milliseconds, chance: number): Milliseconds {
    const earliest = Math.max(soonest, Math.min(firstBackIn, longestAfterBackoff - backoffSpread));
    return milliseconds(earliest + backoffSpread * chance);
}

/** Returns the time for a refusal; undefined when coming back cannot help. */
export function retryAfterRefusal(refusal: RefusalKind, inputs: RetryAfterInputs): Milliseconds | undefined {
    const { retryAfterSeconds: retryAfter } = refusals[refusal];
    if (retryAfter === undefined) {
        return undefined;
    }
    const longest = retryAfter * second;
    if (refusal !== "serversFull" && refusal !== "budgetSpent") {
        return milliseconds(longest);
    }
    const queue = Math.max(0, inputs.loadPerSlot - roomyLoad) * inputs.queuedWork;
    return milliseconds(Math.min(longest, Math.max(soonest, queue)));
}
