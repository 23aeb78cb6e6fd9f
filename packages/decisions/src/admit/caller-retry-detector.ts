/**
 * Tells callers' own retries from first requests. Callers of one route start with the same deadline, so a caller with
 * less time left has spent the difference on a refusal or on a box that it could not reach.
 *
 * Owns the longest deadline of each route over the last seconds.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Detects callers' retries by the deadlines of their routes. */
export interface CallerRetryDetector {
    /**
     * Records a request; returns true if it is a retry. `deadline` is the time in milliseconds that the caller still
     * waits.
     */
    readonly isCallerRetry: (route: string, deadline: number, at: Milliseconds) => boolean;
}

/** Minimum time in milliseconds for which a deadline is kept: much longer than between two requests of a route. */
const minRetention = 10_000;
/**
 * Fraction of the longest deadline below which a request is a retry: even a quick refusal and the wait for its
 * Retry-After use up at least a tenth of the deadline.
 */
const firstRequestFraction = 0.95;

/** The longest deadline of a route, in the current period and in the one before. */
interface LongestDeadline {
    deadline: number;
    previous: number;
    since: Milliseconds;
}

/** Creates a detector that knows no routes yet. */
export function createCallerRetryDetector(): CallerRetryDetector {
    const byRoute = new Map<string, LongestDeadline>();

    return {
        isCallerRetry(route, deadline, at) {
            if (!Number.isFinite(deadline)) {
                return false;
            }
            const longest = longestDeadlineOf(route, at);
            longest.deadline = Math.max(longest.deadline, deadline);
            return deadline < Math.max(longest.deadline, longest.previous) * firstRequestFraction;
        },
    };

    function longestDeadlineOf(route: string, at: Milliseconds): LongestDeadline {
        let longest = byRoute.get(route);
        if (longest === undefined) {
            longest = { deadline: 0, previous: 0, since: at };
            byRoute.set(route, longest);
        }
        if (at - longest.since > minRetention) {
            longest.previous = longest.deadline;
            longest.deadline = 0;
            longest.since = at;
        }
        return longest;
    }
}
