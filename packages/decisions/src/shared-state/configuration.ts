/**
 * The configuration in force: routes, services and limits, as one immutable value.
 *
 * Versions only increase. A process never replaces a configuration by one with a
 * lower version.
 *
 * Owns nothing. The types are sent as JSON in snapshots between boxes, so their members
 * keep their names. `warmup`, `maxHeaderBytes` and `headerTimeout` have no effect yet.
 */

import type { CustomerId, CustomerKey, Milliseconds, RegionId, ServiceId } from "@chalkdale/kernel";

/**
 * Whether a request may run more than once. Downloads are idempotent and have large answers; uploads run at most once
 * and have large bodies.
 */
export type RouteKind = "safe" | "unsafe" | "download" | "upload";

/** One destination of a route and its share of the requests. */
export interface WeightedService {
    readonly service: ServiceId;
    /** Relative to the other destinations of the route; a destination with weight 0 gets no requests. */
    readonly weight: number;
}

/** Where requests with one host and path prefix are sent, and the limits that apply to them. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** One destination, or several between which requests are divided. */
    readonly destinations: readonly WeightedService[];
    /** Target time: an answer within it has its full value. */
    readonly goal: Milliseconds;
    /** Maximum time for which a box keeps a request. */
    readonly timeout: Milliseconds;
    /** Maximum number of servers to which one request may be sent. */
    readonly maxAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Servers work faster on an object that they have worked on recently. */
    readonly sticky: boolean;
    /** The only regions that may serve the route; empty when all may. */
    readonly homeRegions: readonly RegionId[];
    /** Callers need no key for this route, even if other routes require one. */
    readonly isPublic: boolean;
}

/** One customer: the quota, regions and priority of its requests, and the keys by which its callers are recognized. */
export interface Customer {
    readonly id: CustomerId;
    /** A key belongs to one customer at a time; later versions may add and remove keys. */
    readonly keys: readonly CustomerKey[];
    /** Takes precedence over the priority of the route, 0 is the most urgent; undefined if the customer has none. */
    readonly priority: number | undefined;
    /** Bound on the requests that all boxes together admit; undefined if there is none. */
    readonly quota: CustomerQuota | undefined;
    /** The only regions that may serve the customer; empty when all may. */
    readonly homeRegions: readonly RegionId[];
}

/** Bound on a customer's requests, over all boxes. */
export interface CustomerQuota {
    /** Requests per second. */
    readonly rate: number;
    /** Requests beyond the rate that are admitted in any window. */
    readonly burst: number;
}

/** Who may send requests: anyone, or only callers with a key of a customer. */
export type CallerAccess =
    | { readonly kind: "anyone"; }
    | { readonly kind: "customers"; readonly customers: readonly Customer[]; };

/** What all servers of one service have in common. */
export interface Service {
    readonly id: ServiceId;
    readonly healthPath: string;
    /** Connections that one server accepts from all callers together. */
    readonly maxConnections: number;
    /** Time for which a server stays cold after its start. */
    readonly warmup: Milliseconds;
    /** Requests per second that a cold server can serve, from all boxes together. */
    readonly coldRate: number;
}

/** Bounds on what a caller may send. Sizes in bytes. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** A complete configuration. */
export interface Configuration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly limits: CallerLimits;
    readonly access: CallerAccess;
}

/** True for routes whose requests may run more than once. */
export function isIdempotent(route: Route): boolean {
    switch (route.kind) {
        case "safe":
        case "download":
            return true;
        case "unsafe":
        case "upload":
            return false;
    }
}
