/**
 * Retry budget: bounds the retries at a service for all boxes together, without
 * a message per retry.
 *
 * Each box has its own part: a ratio of its own requests in the last window, and
 * an equal part of the common allowance. The sum over all boxes stays within the
 * total.
 *
 * Retries that more urgent requests ask for are reserved for them: while servers
 * refuse more requests than the budget can retry, the retries go to the requests
 * of the highest priority.
 *
 * Owns the counters of one box for one service; relies on the number of boxes that
 * share the allowance.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./sliding-window-counter.js";

export interface RetryBudgetOptions {
    /** Retries allowed per request, from 0 to 1. */
    readonly ratio: number;
    /** Sliding window over which requests and retries are counted. */
    readonly window: Milliseconds;
    /** Retries allowed per window in addition, for all boxes together. */
    readonly allowance: number;
    /** Number of boxes that share the allowance; read at each use. */
    readonly boxCount: () => number;
}

/** One box's part of the retry budget of one service. */
export interface RetryBudget {
    /** Counts a request to the service. */
    readonly onRequest: (at: Milliseconds) => void;
    /**
     * Consumes one retry; false if none is left for a request of this priority (0 is the most urgent, see
     * `combinedPriority`).
     */
    readonly tryConsume: (at: Milliseconds, priority: number) => boolean;
    readonly summary: (at: Milliseconds) => RetryBudgetSummary;
}

/** What a retry budget counted, and what its decisions depend on. */
export interface RetryBudgetSummary {
    /** Boxes that share the allowance, as this box counts them. */
    readonly boxCount: number;
    /** Requests of this box in the last window. */
    readonly requests: number;
    /** Retries granted in the last window. */
    readonly retries: number;
    /** Retries granted and denied since the box started. */
    readonly granted: number;
    readonly denied: number;
}

/**
 * Fraction of the ratio that is used. The rest is a margin for what boxes don't know about each other, such as a box
 * that has just started.
 */
const usedRatioFraction = 0.8;
/** Fraction of the allowance that is used, for the same reason. */
const usedAllowanceFraction = 0.6;

/** Creates one box's retry budget for one service, with empty counters. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const requests = createSlidingWindowCounter(options.window);
    const retries = createSlidingWindowCounter(options.window);
    /** Retries asked for, granted or not, by priority. */
    const demandByPriority = new Map<number, SlidingWindowCounter>();
    let granted = 0;
    let denied = 0;

    return {
        onRequest: at => requests.add(at),
        tryConsume(at, priority) {
            demandOf(priority).add(at);
            const requestShare = requests.total(at) * options.ratio * usedRatioFraction;
            const allowanceShare = options.allowance * usedAllowanceFraction / Math.max(1, options.boxCount());
            const used = Math.max(retries.total(at), demandOfMoreUrgent(at, priority));
            if (used + 1 > requestShare + allowanceShare) {
                denied += 1;
                return false;
            }
            granted += 1;
            retries.add(at);
            return true;
        },
        summary: at => ({
            boxCount: options.boxCount(),
            requests: requests.total(at),
            retries: retries.total(at),
            granted,
            denied,
        }),
    };

    function demandOf(priority: number): SlidingWindowCounter {
        let count = demandByPriority.get(priority);
        if (count === undefined) {
            count = createSlidingWindowCounter(options.window);
            demandByPriority.set(priority, count);
        }
        return count;
    }

    function demandOfMoreUrgent(at: Milliseconds, priority: number): number {
        return [...demandByPriority]
            .filter(([other]) => other < priority)
            .reduce((sum, [, count]) => sum + count.total(at), 0);
    }
}
