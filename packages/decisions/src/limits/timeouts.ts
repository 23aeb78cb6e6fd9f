/**
 * How long a box waits: for a connection, for an answer, for a caller, and
 * how long a connection may rest before it carries the next request.
 *
 * Owns no state; whoever waits asks here for how long.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Milliseconds for a connection to come up, beside twice the way there and back. Servers take 1 ms to accept. */
const connectBase = 250;
/** A connection may use this part of the time that is left, so that a second server can still be tried. */
const connectPartOfTimeLeft = 0.4;

/** Returns how long a connection may take to come up over a way of this length, there and back. */
export function connectTimeout(roundTrip: Milliseconds): Milliseconds {
    return milliseconds(connectBase + 2 * roundTrip);
}

/** The same for a request that must be answered in so long. */
export function connectTimeoutOfRequest(roundTrip: Milliseconds, timeLeft: Milliseconds): Milliseconds {
    return milliseconds(Math.min(connectTimeout(roundTrip), timeLeft * connectPartOfTimeLeft));
}

/**
 * A request counts as overdue after this many times the time that was expected for it: a silent server would else keep it
 * until its deadline.
 */
const overdueAfter = 3;
/** Milliseconds before which no request is overdue: about the aim of the fastest routes, 300 to 400 ms. */
const leastOverdue = 400;

/** Returns the time after which a request without an answer counts as overdue. */
export function overdueThreshold(expected: Milliseconds): Milliseconds {
    return milliseconds(Math.max(leastOverdue, expected * overdueAfter));
}

/** Returns how long a request is held: the shorter of what its caller waits and what its route allows. */
export function requestTimeout(callerWaits: number, routeTimeout: Milliseconds): Milliseconds {
    const isGiven = Number.isFinite(callerWaits) && callerWaits > 0;
    return milliseconds(isGiven ? Math.min(callerWaits, routeTimeout) : routeTimeout);
}

/** Longest rest of a kept connection, in milliseconds; servers close idle ones after some seconds. */
const longestRest = milliseconds(4000);
/** The same before a request that may not run twice: if the server closes meanwhile, its fate would be unknown. */
const longestRestBeforeUnsafe = milliseconds(2000);
/** Part of the time that a server announces for idle connections, which is used: its clock started earlier. */
const usedPartOfKeepAlive = 0.5;

/** Returns how long a connection may have rested before it carries a request. */
export function maxIdleTimeBefore(isIdempotent: boolean): Milliseconds {
    return isIdempotent ? longestRest : longestRestBeforeUnsafe;
}

/** Returns how long a connection is kept after an answer; `announced` is what the server said, if it did. */
export function idleTimeoutAfterAnswer(announced: Milliseconds | undefined): Milliseconds {
    return milliseconds(Math.min(longestRest, (announced ?? longestRest) * usedPartOfKeepAlive));
}
