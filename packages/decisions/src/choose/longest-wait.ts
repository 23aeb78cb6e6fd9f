/**
 * Limits how long a request may wait for a free slot before it is refused.
 *
 * Owns no state; relies on the load of the service as a whole.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { ChoiceRequest } from "./choice.js";

/**
 * Longest wait for a free slot at a warm server, as a fraction of the route's goal; a request with a longer expected
 * wait is refused at once. A smaller fraction refuses more requests than it speeds up.
 */
const warmWaitFraction = 1;
/** The same at a cold server while slots are short: cold work occupies a slot for longer. */
const coldWaitFraction = 0.5;
/** Load per slot of a service above which its slots are short: more requests wait than slots are free. */
const slotShortageLoad = 1;
/** Factor of the longest wait for a caller's retry: a request that is refused twice is lost. */
const callerRetryFactor = 1.5;

/**
 * Returns the longest wait for a slot, in milliseconds. Cold work takes three times as long as warm work, so while
 * slots are short it is accepted only where the wait is short; otherwise it would delay all other requests. A caller's
 * retry was refused for its wait before, and may wait longer.
 */
export function maxSlotWait(
    warm: boolean,
    { isCallerRetry, route, service }: ChoiceRequest,
    loadPerSlot: (service: ServiceId) => number,
): number {
    const areSlotsShort = loadPerSlot(service) > slotShortageLoad;
    const fraction = areSlotsShort && !warm ? coldWaitFraction : warmWaitFraction;
    return route.goal * fraction * (isCallerRetry ? callerRetryFactor : 1);
}
