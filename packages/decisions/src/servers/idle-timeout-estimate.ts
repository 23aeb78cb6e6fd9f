/**
 * How long the servers of a service keep connections that rest, learned from
 * connections that turned out to be closed when a request was sent on them.
 *
 * Servers may forget idle connections far sooner than they announce. A request
 * that may not run twice is then lost, since nobody knows whether it ran; with a
 * shorter rest it goes on a new connection, which takes a way there and back.
 *
 * Owns the shortest rests of the last seconds, by service; relies on connections
 * of this box.
 */

import { type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";

/** Knows how long connections may rest. */
export interface IdleTimeoutEstimate {
    /**
     * A request on a connection that had rested so long was answered by a reset, so long after it was sent, the way left out.
     * True if the rest is the likely cause, and not the server's health.
     */
    readonly onReset: (service: ServiceId, rest: Milliseconds, after: Milliseconds, at: Milliseconds) => boolean;
    /** Returns how long a connection may have rested; at most `longest`. */
    readonly maxIdleTime: (service: ServiceId, longest: Milliseconds, at: Milliseconds) => Milliseconds;
}

/** Milliseconds for which a rest that was too long is remembered: longer than the pause between two requests to most servers. */
const remembered = 10_000;
/** Part of the shortest rest that was too long which is used: the server's clock started earlier. */
const usedPart = 0.5;
/** Milliseconds of rest below which a reset says nothing of resting: a server that ends resets busy connections too. */
const shortestTelling = 100;
/** Milliseconds after sending, besides the way, within which a reset means that the connection was gone: no server works less. */
const quickReset = 30;

interface KnownRest {
    readonly rest: Milliseconds;
    readonly at: Milliseconds;
}

/** Creates the memory; nothing is known at first. */
export function createIdleTimeoutEstimate(): IdleTimeoutEstimate {
    const known = new Map<ServiceId, KnownRest>();

    return {
        onReset(service, rest, after, at) {
            if (rest < shortestTelling || after > quickReset) {
                return false;
            }
            const shortest = Math.min(rest, current(service, at)?.rest ?? rest);
            known.set(service, { rest: milliseconds(shortest), at });
            return true;
        },
        maxIdleTime(service, longest, at) {
            const shortest = current(service, at);
            return shortest === undefined ? longest : milliseconds(Math.min(longest, shortest.rest * usedPart));
        },
    };

    function current(service: ServiceId, at: Milliseconds): KnownRest | undefined {
        const found = known.get(service);
        return found === undefined || at - found.at > remembered ? undefined : found;
    }
}
