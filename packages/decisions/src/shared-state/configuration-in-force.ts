/**
 * A configuration that is or was in force, with what is derived from it. A request that was admitted by it uses it until
 * it ends, however long it waits meanwhile, and leaves nothing of it to requests that were admitted by a later one.
 *
 * Owns the tables and the splits of one configuration; a new configuration gets a new object.
 */

import type { ServiceId } from "@chalkdale/kernel";
import { createRouteTable, type RouteTable } from "../admit/route-table.js";
import { createWeightedSplit, type WeightedSplit } from "../admit/weighted-split.js";
import { createCustomerTable, type CustomerTable } from "../customers/customer-table.js";
import type { Configuration, Route, Service } from "./configuration.js";

/** One configuration, and look-ups in it. */
export interface ConfigurationInForce {
    readonly configuration: Configuration;
    readonly routes: RouteTable;
    readonly keys: CustomerTable;
    readonly service: (id: ServiceId) => Service | undefined;
    /** Picks the service that a request on a route of this configuration goes to, by the weights of its destinations. */
    readonly pickDestination: (route: Route) => ServiceId;
}

/** Derives the tables of a configuration. */
export function createConfigurationInForce(configuration: Configuration): ConfigurationInForce {
    const services = new Map(configuration.services.map(service => [service.id, service]));
    const splits = new Map<Route, WeightedSplit>();

    return {
        configuration,
        routes: createRouteTable(configuration),
        keys: createCustomerTable(configuration.access),
        service: id => services.get(id),
        pickDestination(route) {
            if (route.destinations.length === 1) {
                return route.destinations[0].service;
            }
            const split = splits.get(route) ?? createWeightedSplit(route.destinations);
            splits.set(route, split);
            return split();
        },
    };
}
