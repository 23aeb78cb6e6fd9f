/**
 * The regions in which a request may be served. Routes and customers may restrict it to home regions; if both do, both
 * restrictions apply.
 *
 * Owns no state.
 */

import type { RegionId } from "@chalkdale/kernel";
import type { Customer, Route } from "../shared-state/configuration.js";

/**
 * Returns the allowed regions: undefined if any region may serve, empty if route and customer have no home region in
 * common.
 */
export function allowedRegionsOf(route: Route, customer: Customer | undefined): ReadonlySet<RegionId> | undefined {
    const customerRegions = customer?.homeRegions ?? [];
    if (route.homeRegions.length === 0) {
        return customerRegions.length === 0 ? undefined : new Set(customerRegions);
    }
    return new Set(
        route.homeRegions.filter(region => customerRegions.length === 0 || customerRegions.includes(region)),
    );
}
