/**
 * How urgent a request is against others, where there is not enough for all:
 * its customer's priority goes before its route's, which decides among equals.
 *
 * Owns no state.
 */

import type { Customer, Route } from "../shared-state/configuration.js";

/** Returns a number; 0 is the most urgent. */
export function combinedPriority(route: Route, customer: Customer | undefined): number {
    const first = customer?.priority ?? route.priority;
    const amongEquals = route.priority / (route.priority + 1);
    return first + amongEquals;
}
