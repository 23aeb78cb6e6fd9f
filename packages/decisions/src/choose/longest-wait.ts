/**
 * How long a request waits for a free slot at most, before it is refused.
 *
 * Owns no state; relies on the load of the service as a whole.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { ChoiceRequest } from "./choice.js";

/**
 * Part of the route's goal that a request waits for a free slot at most where its key is known; with a longer wait it is refused
 * at once. Shorter ones refuse more than they speed up.
 */
const waitPartWarm = 1;
/** The same where the key is not known and slots are short: cold work takes a slot for longer. */
const waitPartCold = 0.5;
/**
 * Load per slot of a service above which its slots count as short: more requests wait than slots are free.
 */
const shortOfSlots = 1;
/** Times as long that a caller waits who comes back: a second refusal is a request lost. */
const returningPatience = 1.5;

/**
 * Returns the longest wait in milliseconds. Work on an object that the server does not know takes three times as long, so when
 * slots are short it goes only where the wait is short: else it keeps all others waiting. A caller that comes back was sent away
 * for the wait before, and waits longer.
 */
export function longestWait(
    warm: boolean,
    { isCallerRetry: isReturning, route, service }: ChoiceRequest,
    loadPerSlot: (service: ServiceId) => number,
): number {
    const isShort = loadPerSlot(service) > shortOfSlots;
    const part = isShort && !warm ? waitPartCold : waitPartWarm;
    return route.goal * part * (isReturning ? returningPatience : 1);
}
