/**
 * Computes Retry-After for callers whose requests exceeded the rate limits that the
 * servers of a service report: retries are scheduled one after the other at the
 * allowed rate, so that callers don't all retry at once.
 *
 * Owns the time of the latest scheduled retry of each service; randomness is passed in.
 */

import { type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";

/** Schedules the retries of callers at one box. */
export interface CallerRetryPacer {
    /**
     * Returns the time until the next caller may retry. `rate`: this box's part of the service's rate, in requests per
     * second.
     */
    readonly nextRetryAfter: (service: ServiceId, rate: number, at: Milliseconds) => Milliseconds;
}

/** Minimum delay in milliseconds, so that callers don't retry within the same turn of the box's event loop. */
const minDelay = 50;
/** Maximum delay in milliseconds for which retries are scheduled: few callers have a later deadline. */
const maxDelay = 2000;
/** Fraction of the maximum delay over which callers are spread for whom no earlier time is left. */
const spreadFraction = 0.5;
/** Milliseconds per second, the time unit of the rate. */
const second = 1000;

/** Creates the pacer; no retry is scheduled. `random` returns a number from 0 to 1. */
export function createCallerRetryPacer(random: () => number): CallerRetryPacer {
    const lastRetryAt = new Map<ServiceId, number>();

    return {
        nextRetryAfter(service, rate, at) {
            const previous = Math.max(lastRetryAt.get(service) ?? 0, at + minDelay);
            const retryAt = rate > 0 ? previous + second / rate : Infinity;
            if (retryAt > at + maxDelay) {
                return milliseconds(maxDelay * (1 - spreadFraction * random()));
            }
            lastRetryAt.set(service, retryAt);
            return milliseconds(retryAt - at);
        },
    };
}
