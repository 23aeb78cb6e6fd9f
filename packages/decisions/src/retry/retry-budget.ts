/**
 * Retry budget: bounds the arrivals at a service beyond the first of each
 * request, for all boxes together, without a message for each.
 *
 * Every box keeps its own part: a share of its own requests of the last window
 * and an equal part of the common allowance. The sum over all boxes then stays
 * within the whole.
 *
 * Owns the counts of one box and service; relies on the number of boxes that
 * share the allowance.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { createSlidingCount } from "./sliding-count.js";

export interface RetryBudgetOptions {
    /** Retries allowed for each request, from 0 to 1. */
    readonly ratio: number;
    readonly window: Milliseconds;
    /** Retries allowed besides, for all boxes together. */
    readonly allowance: number;
    /** Boxes that share the allowance; read at each use. */
    readonly boxCount: () => number;
}

/** The part of one service's budget that a box has. */
export interface RetryBudget {
    /** Notes a request for the service. */
    readonly onRequest: (at: Milliseconds) => void;
    /** Takes one retry; false when none is left. */
    readonly tryTake: (at: Milliseconds) => boolean;
}

/**
 * Parts of the bounds that are used; the rest covers what boxes don't know of each other, such as one that has just started.
 * No run broke the bound with them, nor with others: not measured against other parts.
 */
const usedShareOfRatio = 0.8;
/** Part of the allowance that is used. Not measured against other parts. */
const usedShareOfAllowance = 0.6;

/** Creates the budget of one service. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const requests = createSlidingCount(options.window);
    const retries = createSlidingCount(options.window);

    return {
        onRequest: at => requests.add(at),
        tryTake(at) {
            const earned = requests.total(at) * options.ratio * usedShareOfRatio;
            const granted = options.allowance * usedShareOfAllowance / Math.max(1, options.boxCount());
            if (retries.total(at) + 1 > earned + granted) {
                return false;
            }
            retries.add(at);
            return true;
        },
    };
}
