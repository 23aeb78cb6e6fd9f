/**
 * Retry budget: bounds the retries at a service for all boxes together, without
 * a message per retry.
 *
 * Each box has a token bucket that starts empty. Its requests earn tokens, and so does time, by the box's equal part
 * of the common allowance; a retry consumes one. What can be saved is bounded by the requests of the last window and by
 * the box's part of the allowance. In any window, all boxes together so retry at most what they had saved at its
 * beginning, bounded by the requests of the window before, and what they earn within it. This holds for any number of
 * lives of a box, since a new life has nothing saved, and for boxes that know nothing of each other.
 *
 * Retries that more urgent requests ask for are reserved for them: while servers
 * refuse more requests than the budget can retry, the retries go to the requests
 * of the highest priority.
 *
 * Owns the tokens and counters of one box for one service; relies on the number of boxes that share the allowance.
 */

import { type Milliseconds, milliseconds, type RandomSource } from "@chalkdale/kernel";
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
    /** Start of this life of the box: from then on it earns its part of the allowance. */
    readonly startedAt: Milliseconds;
    readonly random: RandomSource;
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
    /** Retries that are left now. */
    readonly tokens: number;
    /** Requests of this box in the last window. */
    readonly requests: number;
    /** Retries granted in the last window. */
    readonly retries: number;
    /** Retries granted and denied since the box started. */
    readonly granted: number;
    readonly denied: number;
}

/** Fractions of the ratio that requests earn and that can be saved; together at most 1, and the first the greater. */
const earnedRatioFraction = 0.6;
const savedRatioFraction = 0.4;
/**
 * Fractions of the allowance that all boxes earn in a window and that they can save. The other half is for boxes that
 * don't know of all others.
 */
const earnedAllowanceFraction = 0.25;
const savedAllowanceFraction = 0.25;
/** Fraction of the window in which requests count: a counter includes up to a twentieth more than its window. */
const countedWindowFraction = 20 / 21;

/** Creates one box's retry budget for one service, without tokens. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const { allowance, ratio, window } = options;
    const requests = createSlidingWindowCounter(milliseconds(window * countedWindowFraction));
    const retries = createSlidingWindowCounter(window);
    /** Retries asked for, granted or not, by priority. */
    const demandByPriority = new Map<number, SlidingWindowCounter>();
    let tokens = 0;
    let refilledAt = options.startedAt;
    let granted = 0;
    let denied = 0;

    return {
        onRequest(at) {
            requests.add(at);
            refill(at, ratio * earnedRatioFraction);
        },
        tryConsume(at, priority) {
            refill(at);
            demandOf(priority).add(at);
            const isGranted = demandOfMoreUrgent(at, priority) < earnedInWindow(at) && takeToken(at);
            granted += isGranted ? 1 : 0;
            denied += isGranted ? 0 : 1;
            retries.add(at, isGranted ? 1 : 0);
            return isGranted;
        },
        summary(at) {
            refill(at);
            return {
                boxCount: options.boxCount(),
                tokens,
                requests: requests.total(at),
                retries: retries.total(at),
                granted,
                denied,
            };
        },
    };

    /** Adds what time has earned since the last refill, and `earned` tokens. */
    function refill(at: Milliseconds, earned = 0): void {
        const elapsed = at - refilledAt;
        refilledAt = at;
        tokens = Math.min(capacity(at), tokens + earned + earnedAllowance() * elapsed / window);
    }

    function takeToken(at: Milliseconds): boolean {
        if (tokens >= 1) {
            tokens -= 1;
            return true;
        }
        if (capacity(at) >= 1) {
            return false;
        }
        // This bucket never holds a whole token: a draw uses up what it holds, so that retries match the tokens on
        // average over all boxes.
        const isDrawn = options.random() < tokens;
        tokens = 0;
        return isDrawn;
    }

    /** Tokens that can be saved. */
    function capacity(at: Milliseconds): number {
        return savedRatioFraction * ratio * requests.total(at) + savedAllowanceFraction * allowancePart();
    }

    function earnedInWindow(at: Milliseconds): number {
        return earnedRatioFraction * ratio * requests.total(at) + earnedAllowance();
    }

    /** Tokens that this box earns in a window besides those of its requests. */
    function earnedAllowance(): number {
        return earnedAllowanceFraction * allowancePart();
    }

    function allowancePart(): number {
        return allowance / Math.max(1, options.boxCount());
    }

    function demandOf(priority: number): SlidingWindowCounter {
        let count = demandByPriority.get(priority);
        if (count === undefined) {
            count = createSlidingWindowCounter(window);
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
