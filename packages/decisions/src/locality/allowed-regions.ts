/**
 * The regions in which a request may be served, where its route or its customer
 * has homes. If both have, both bind.
 *
 * Owns no state.
 */

import type { RegionId } from "@chalkdale/kernel";
import type { Customer, Route } from "../shared-state/configuration.js";

/** Returns the regions, none if the homes of both have nothing in common; undefined when all regions may serve. */
export function allowedRegionsOf(route: Route, customer: Customer | undefined): ReadonlySet<RegionId> | undefined {
    const ofCustomer = customer?.homeRegions ?? [];
    if (route.homeRegions.length === 0) {
        return ofCustomer.length === 0 ? undefined : new Set(ofCustomer);
    }
    return new Set(route.homeRegions.filter(region => ofCustomer.length === 0 || ofCustomer.includes(region)));
}
