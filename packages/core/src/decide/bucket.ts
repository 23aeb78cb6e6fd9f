/**
 * Token bucket whose count in any window of `bucketWindow` stays within the
 * rate times the window, the burst included.
 *
 * A rise of the rate adds no tokens, so a grant that moves from one box to
 * another cannot be used twice within a window.
 */

import { type Milliseconds, milliseconds } from "../kernel/ids.js";
import { Err, Ok, type Result } from "../kernel/result.js";

/** Window over which the rate is kept, in milliseconds. */
export const bucketWindow = 10_000;

/** Part of a second's rate that may be taken at once. */
const burstPart = 0.1;

/** The wait, in milliseconds, after which the cost could be taken. */
export interface BucketEmpty {
    readonly retryAfter: Milliseconds;
}

/** A bucket of cost units. */
export interface Bucket {
    /** Takes a cost, or returns how long to wait. The rate is in units per second. */
    readonly take: (cost: number, rate: number, at: Milliseconds) => Result<void, BucketEmpty>;
    /** Returns a cost that was taken but not used. */
    readonly putBack: (cost: number) => void;
}

/** Bursts that a window is charged with: one at its start, and one for a rate that moved between boxes within it. */
const burstsPerWindow = 2;
const longestWait = 60_000;

/** Creates an empty bucket. */
export function createBucket(startedAt: Milliseconds): Bucket {
    let tokens = 0;
    let last = startedAt;
    let burst = 0;

    return {
        take(cost, rate, at) {
            const refill = refillTo(cost, rate, at);
            if (tokens >= cost) {
                tokens -= cost;
                return Ok(undefined);
            }
            const wait = refill > 0 ? (cost - tokens) / refill * 1000 : longestWait;
            return Err({ retryAfter: milliseconds(Math.ceil(Math.min(wait, longestWait))) });
        },
        putBack(cost) {
            tokens = Math.min(burst, tokens + cost);
        },
    };

    /** Adds what has accrued and returns the refill in units per second. */
    function refillTo(cost: number, rate: number, at: Milliseconds): number {
        burst = rate * bucketWindow / 1000 < cost ? 0 : Math.max(cost, rate * burstPart);
        const refill = Math.max(0, rate - burstsPerWindow * burst / (bucketWindow / 1000));
        const elapsed = Math.max(0, at - last);
        last = milliseconds(Math.max(last, at));
        tokens = Math.min(burst, tokens + refill * elapsed / 1000);
        return refill;
    }
}
