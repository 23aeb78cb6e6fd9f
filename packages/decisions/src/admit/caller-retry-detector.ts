/**
 * Tells callers that come back from those that ask for the first time: callers
 * of one route begin with the same deadline, so one with less time left has
 * spent the rest, on a refusal or on a box that it could not reach.
 *
 * Owns the longest deadline of each route over the last seconds.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Knows the deadlines of the routes. */
export interface CallerRetryDetector {
    /** Notes a request and tells whether its caller has asked before. `deadline` is the time that the caller still waits. */
    readonly isCallerRetry: (route: string, deadline: number, at: Milliseconds) => boolean;
}

/** Milliseconds for which a deadline is remembered at least; long against the pause between two requests of a route. */
const period = 10_000;
/** Part of the longest deadline below which a caller has asked before: a quick refusal and its pause take a tenth at least. */
const beganWith = 0.95;

interface Longest {
    deadline: number;
    previous: number;
    since: Milliseconds;
}

/** Creates the memory without routes. */
export function createCallerRetryDetector(): CallerRetryDetector {
    const byRoute = new Map<string, Longest>();

    return {
        isCallerRetry(route, deadline, at) {
            if (!Number.isFinite(deadline)) {
                return false;
            }
            const longest = longestOf(route, at);
            longest.deadline = Math.max(longest.deadline, deadline);
            return deadline < Math.max(longest.deadline, longest.previous) * beganWith;
        },
    };

    function longestOf(route: string, at: Milliseconds): Longest {
        let longest = byRoute.get(route);
        if (longest === undefined) {
            longest = { deadline: 0, previous: 0, since: at };
            byRoute.set(route, longest);
        }
        if (at - longest.since > period) {
            longest.previous = longest.deadline;
            longest.deadline = 0;
            longest.since = at;
        }
        return longest;
    }
}
