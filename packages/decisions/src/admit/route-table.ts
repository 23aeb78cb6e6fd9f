/**
 * Finds the route of a request: among the routes of its host, the one with the longest matching path prefix.
 *
 * Owns an index of one configuration; a new configuration gets a new table.
 */

import type { Configuration, Route } from "../shared-state/configuration.js";

/** The routes of one configuration. */
export interface RouteTable {
    /** Returns the route of a request; `host` may include a port, `path` has no query. */
    readonly match: (host: string, path: string) => Route | undefined;
}

/** Creates the table of a configuration. */
export function createRouteTable(configuration: Configuration): RouteTable {
    const routesOfHost = new Map<string, Route[]>();
    for (const route of configuration.routes) {
        const routes = routesOfHost.get(route.host) ?? [];
        routes.push(route);
        routesOfHost.set(route.host, routes);
    }
    for (const routes of routesOfHost.values()) {
        routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }

    return {
        match(host, path) {
            const routes = routesOfHost.get(hostWithoutPort(host));
            return routes?.find(route => path.startsWith(route.pathPrefix));
        },
    };
}

function hostWithoutPort(host: string): string {
    const colon = host.lastIndexOf(":");
    return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
