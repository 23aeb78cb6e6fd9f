/**
 * Checks that servers get no request whose caller has left before, whatever kept its box from reading.
 */

import type { Breach, Observations } from "./observations.js";

/** Milliseconds after a caller has left in which a request may still arrive; from the users' rules. */
const lateAfter = 500;

/**
 * Returns a breach for each request that reached a server too late, unless its link held it back. Time in which the soak
 * was held up does not count: it closes connections and reads what reaches its servers later than it notes.
 */
export function departureBreaches({ arrivals = [], departures = [], ownDelayWithin }: Observations): Breach[] {
    const leftAt = new Map(departures.map(({ at, requestId }) => [requestId, at]));
    return arrivals.flatMap(({ at, requestId, wasHeldBack }): Breach[] => {
        const left = leftAt.get(requestId);
        if (left === undefined || at - left <= lateAfter || wasHeldBack?.(left) === true) {
            return [];
        }
        const ownDelay = ownDelayWithin?.(left, at) ?? 0;
        if (at - left - ownDelay <= lateAfter) {
            return [];
        }
        const earlier = arrivals.filter(arrival => arrival.requestId === requestId && arrival.at < at);
        const detail = `${requestId} reached a server ${Math.round(at - left)} ms after its caller had left, `
            + `arrivals before: ${earlier.map(arrival => Math.round(arrival.at - left)).join(",") || "none"}, `
            + `the soak held up for ${Math.round(ownDelay)} ms meanwhile`;
        return [{ promise: "departed", at, detail }];
    });
}
