/**
 * Retry budget: bounds the share of requests that are sent a second time.
 *
 * Requests started earn a part of a retry each; a retry costs a whole one.
 * What can be saved up is bounded, so that a burst of failures after a quiet
 * time does not double the load (after Finagle's retry budget).
 */

/** The budget of one service. */
export interface RetryBudget {
    /** Notes a request started. */
    readonly started: () => void;
    /** Takes a retry; false when the budget is spent. */
    readonly tryRetry: () => boolean;
}

const savedRetries = 10;

/** Creates a budget with the given retries for each request started (0 to 1). */
export function createRetryBudget(ratio: () => number): RetryBudget {
    let saved = 1;
    return {
        started() {
            saved = Math.min(savedRetries, saved + ratio());
        },
        tryRetry() {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
    };
}
