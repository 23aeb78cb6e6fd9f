/**
 * Combines the priorities of a request's customer and route, for when capacity is short: the customer's goes first, and
 * the route's decides among equals.
 *
 * Owns no state.
 */

import type { Customer, Route } from "../shared-state/configuration.js";

/** Returns the combined priority; 0 is the most urgent. */
export function combinedPriority(route: Route, customer: Customer | undefined): number {
    const primary = customer?.priority ?? route.priority;
    const tieBreaker = route.priority / (route.priority + 1);
    return primary + tieBreaker;
}
