/**
 * When callers may come back whose requests were beyond the rates that the
 * servers of a service name: one after the other as the rates allow, and not all at once.
 *
 * Owns the time of the next return to each service; chance is passed in.
 */

import { type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";

/** Returns of callers to one box. */
export interface CallerRetryPacer {
    /** Time until the next caller may come back; `rate`: requests a second of the service that this box can promise. */
    readonly nextRetryAfter: (service: ServiceId, rate: number, at: Milliseconds) => Milliseconds;
}

/** Milliseconds: the least time, so that callers do not come back while the same turn of a box is under way. */
const soonest = 50;
/** Milliseconds beyond which no return is promised: few callers have more time. */
const longest = 2000;
/** Part of the longest time over which callers are spread for whom there is no room before it. */
const spreadPart = 0.5;
/** Milliseconds of a second, the unit of the rate. */
const second = 1000;

/** Creates the returns; none is promised. */
export function createCallerRetryPacer(random: () => number): CallerRetryPacer {
    const lastReturn = new Map<ServiceId, number>();

    return {
        nextRetryAfter(service, rate, at) {
            const previous = Math.max(lastReturn.get(service) ?? 0, at + soonest);
            const returnAt = rate > 0 ? previous + second / rate : Infinity;
            if (returnAt > at + longest) {
                return milliseconds(longest * (1 - spreadPart * random()));
            }
            lastReturn.set(service, returnAt);
            return milliseconds(returnAt - at);
        },
    };
}
