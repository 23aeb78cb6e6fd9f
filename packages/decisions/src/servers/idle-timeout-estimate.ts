/**
 * Estimates how long the servers of a service keep idle connections open, from
 * connections that turned out to be closed when a request was sent on them.
 *
 * Servers may close idle connections far sooner than they announce. A request that
 * must not run twice is then lost, since it is unknown whether it ran. With a shorter
 * idle time it is sent on a new connection, which costs one round trip.
 *
 * Owns the shortest idle time of the last seconds that led to a reset, by service;
 * relies on the connections of this box.
 */

import { type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";

/** Estimate of the idle timeouts of services. */
export interface IdleTimeoutEstimate {
    /**
     * A connection that had been idle for `idleTime` was reset. `after`: time from sending the request to the reset,
     * less the round trip.
     *
     * @returns true if the idle time is the likely cause, and not the server's health.
     */
    readonly onReset: (service: ServiceId, idleTime: Milliseconds, after: Milliseconds, at: Milliseconds) => boolean;
    /** Returns how long a connection may have been idle to be used again; at most `upperBound`. */
    readonly maxIdleTime: (service: ServiceId, upperBound: Milliseconds, at: Milliseconds) => Milliseconds;
}

/** Milliseconds for which a reset counts: longer than the interval between two requests to most servers. */
const resetLifetime = 10_000;
/** Usable fraction of the shortest idle time that led to a reset: the server started to count earlier than the box. */
const usedFraction = 0.5;
/**
 * Idle milliseconds below which a reset is not due to an idle timeout: a server that stops resets busy connections too.
 */
const minIdleTimeForEstimate = 100;
/**
 * Milliseconds after sending, without the round trip, within which a reset means a closed connection: no work is as
 * short.
 */
const maxResetDelay = 30;

/** Shortest idle time that led to a reset, and the time of the latest reset. */
interface ObservedIdleTime {
    readonly idleTime: Milliseconds;
    readonly at: Milliseconds;
}

/** Creates the estimate; no reset is known yet. */
export function createIdleTimeoutEstimate(): IdleTimeoutEstimate {
    const known = new Map<ServiceId, ObservedIdleTime>();

    return {
        onReset(service, idleTime, after, at) {
            if (idleTime < minIdleTimeForEstimate || after > maxResetDelay) {
                return false;
            }
            const shortest = Math.min(idleTime, current(service, at)?.idleTime ?? idleTime);
            known.set(service, { idleTime: milliseconds(shortest), at });
            return true;
        },
        maxIdleTime(service, upperBound, at) {
            const shortest = current(service, at);
            return shortest === undefined
                ? upperBound
                : milliseconds(Math.min(upperBound, shortest.idleTime * usedFraction));
        },
    };

    function current(service: ServiceId, at: Milliseconds): ObservedIdleTime | undefined {
        const found = known.get(service);
        return found === undefined || at - found.at > resetLifetime ? undefined : found;
    }
}
