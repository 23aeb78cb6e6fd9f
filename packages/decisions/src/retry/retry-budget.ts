/**
 * Repeat budget: bounds the arrivals at a service beyond the first of each
 * request, for all boxes together, without a message for each.
 *
 * Every box keeps its own part: a share of its own requests of the last window
 * and an equal part of the common allowance. The sum over all boxes then stays
 * within the whole.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { createSlidingCount } from "./sliding-count.js";

export interface RetryBudgetOptions {
    /** Repeats allowed for each request, from 0 to 1. */
    readonly ratio: number;
    readonly window: Milliseconds;
    /** Repeats allowed besides, for all boxes together. */
    readonly allowance: number;
    /** Boxes that share the allowance; read at each use. */
    readonly boxCount: () => number;
}

/** The part of one service's budget that a box has. */
export interface RetryBudget {
    /** Notes a request for the service. */
    readonly onRequest: (at: Milliseconds) => void;
    /** Takes one repeat; false when none is left. */
    readonly tryTake: (at: Milliseconds) => boolean;
}

/** Parts of the bounds that are used; the rest covers what boxes don't know of each other. */
const usedShareOfRatio = 0.8;
const usedShareOfAllowance = 0.6;

/** Creates the budget of one service. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const requests = createSlidingCount(options.window);
    const repeats = createSlidingCount(options.window);

    return {
        onRequest: at => requests.add(at),
        tryTake(at) {
            const earned = requests.total(at) * options.ratio * usedShareOfRatio;
            const granted = options.allowance * usedShareOfAllowance / Math.max(1, options.boxCount());
            if (repeats.total(at) + 1 > earned + granted) {
                return false;
            }
            repeats.add(at);
            return true;
        },
    };
}
