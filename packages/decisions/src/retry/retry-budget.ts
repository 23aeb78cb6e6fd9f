/**
 * Retry budget: bounds the arrivals at a service beyond the first of each
 * request, for all boxes together, without a message for each.
 *
 * Every box keeps its own part: a share of its own requests of the last window
 * and an equal part of the common allowance. The sum over all boxes then stays
 * within the whole.
 *
 * What more urgent requests ask for is left to them: while servers turn away more
 * than the budget can send again, the retries go where an answer is worth most.
 *
 * Owns the counts of one box and service; relies on the number of boxes that
 * share the allowance.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./sliding-window-counter.js";

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
    /** Takes one retry for a request; false when none is left for one so urgent, see `combinedPriority`. */
    readonly tryConsume: (at: Milliseconds, urgency: number) => boolean;
}

/**
 * Parts of the bounds that are used; the rest covers what boxes don't know of each other, such as one that has just started.
 */
const usedShareOfRatio = 0.8;
/** Part of the allowance that is used. */
const usedShareOfAllowance = 0.6;

/** Creates the budget of one service. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const requests = createSlidingWindowCounter(options.window);
    const retries = createSlidingWindowCounter(options.window);
    const asked = new Map<number, SlidingWindowCounter>();

    return {
        onRequest: at => requests.add(at),
        tryConsume(at, urgency) {
            askedOf(urgency).add(at);
            const earned = requests.total(at) * options.ratio * usedShareOfRatio;
            const granted = options.allowance * usedShareOfAllowance / Math.max(1, options.boxCount());
            const taken = Math.max(retries.total(at), askedMoreUrgent(at, urgency));
            if (taken + 1 > earned + granted) {
                return false;
            }
            retries.add(at);
            return true;
        },
    };

    function askedOf(urgency: number): SlidingWindowCounter {
        let count = asked.get(urgency);
        if (count === undefined) {
            count = createSlidingWindowCounter(options.window);
            asked.set(urgency, count);
        }
        return count;
    }

    function askedMoreUrgent(at: Milliseconds, urgency: number): number {
        return [...asked]
            .filter(([other]) => other < urgency)
            .reduce((sum, [, count]) => sum + count.total(at), 0);
    }
}
