/**
 * Timeouts of a box: for connections, for answers, for callers, and for how long a connection may be idle before it
 * carries the next request.
 *
 * Owns no state.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Milliseconds for establishing a connection, in addition to two round trips. Servers take 1 ms to accept. */
const baseConnectTimeout = 250;
/**
 * Fraction of the remaining time that establishing a connection may take, so that a second server can still be tried.
 */
const connectFractionOfTimeLeft = 0.4;

/** Returns the timeout for establishing a connection over a network with this round-trip time. */
export function connectTimeout(roundTrip: Milliseconds): Milliseconds {
    return milliseconds(baseConnectTimeout + 2 * roundTrip);
}

/** Returns the same for a request that must be answered within `timeLeft`. */
export function connectTimeoutOfRequest(roundTrip: Milliseconds, timeLeft: Milliseconds): Milliseconds {
    return milliseconds(Math.min(connectTimeout(roundTrip), timeLeft * connectFractionOfTimeLeft));
}

/**
 * A request is overdue after this many times its expected duration. Without that, an unresponsive server would keep it
 * until its deadline.
 */
const overdueFactor = 3;
/**
 * Milliseconds before which no request is overdue: about the latency objective of the fastest routes, 300 to 400 ms.
 */
const minOverdueThreshold = 400;

/** Returns the time after which an unanswered request is overdue. */
export function overdueThreshold(expected: Milliseconds): Milliseconds {
    return milliseconds(Math.max(minOverdueThreshold, expected * overdueFactor));
}

/**
 * Returns the timeout of a request: the lower of its caller's and its route's; the route's if the caller sent no valid
 * one.
 */
export function requestTimeout(callerTimeout: number, routeTimeout: Milliseconds): Milliseconds {
    const isValid = Number.isFinite(callerTimeout) && callerTimeout > 0;
    return milliseconds(isValid ? Math.min(callerTimeout, routeTimeout) : routeTimeout);
}

/** Milliseconds for which a request is delayed at most until its customer's quota admits it. */
const maxQuotaDelay = 500;
/** Fraction of a request's timeout for which it is delayed at most, so that its servers have the rest. */
const maxQuotaDelayFraction = 0.25;

/** Returns for how long a request with this timeout may be delayed until its customer's quota admits it. */
export function maxQuotaWait(timeout: Milliseconds): Milliseconds {
    return milliseconds(Math.min(maxQuotaDelay, timeout * maxQuotaDelayFraction));
}

/** Fraction of the remaining time that a server gets at least, since the caller of a request that waited is still there. */
const minFractionAtServer = 0.25;

/**
 * Returns the time that a server gets for a request with `timeLeft` since it was read. It may have arrived up to
 * `unreadFor` earlier, and its caller's time runs from then.
 */
export function timeLeftAtServer(timeLeft: Milliseconds, unreadFor: Milliseconds): Milliseconds {
    return milliseconds(Math.max(timeLeft - unreadFor, timeLeft * minFractionAtServer));
}

/** Milliseconds for which a connection may be idle. Servers close idle connections after a few seconds. */
const maxIdleTime = milliseconds(4000);
/**
 * The same before a non-idempotent request: if the server closes the connection at that moment, it is unknown whether
 * it ran.
 */
const maxIdleTimeBeforeUnsafe = milliseconds(2000);
/** Fraction of a server's announced idle timeout that is used, since the server's timer started earlier. */
const usedKeepAliveFraction = 0.5;

/** Returns for how long a connection may have been idle when a request is sent on it. */
export function maxIdleTimeBefore(isIdempotent: boolean): Milliseconds {
    return isIdempotent ? maxIdleTime : maxIdleTimeBeforeUnsafe;
}

/**
 * Returns for how long an idle connection is kept after an answer; `announced` is the server's idle timeout, if it sent
 * one.
 */
export function idleTimeoutAfterAnswer(announced: Milliseconds | undefined): Milliseconds {
    return milliseconds(Math.min(maxIdleTime, (announced ?? maxIdleTime) * usedKeepAliveFraction));
}
