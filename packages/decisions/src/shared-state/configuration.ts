/**
 * The configuration in force: routes, services and limits, as one immutable value.
 *
 * Versions only go up. A process never replaces a configuration by one with a
 * lower version.
 *
 * Owns nothing; the fields stand in the snapshots between boxes. No rule goes by
 * `priority`, `warmup`, `maxHeaderBytes` and `headerTimeout` yet.
 */

import type { CustomerId, CustomerKey, Milliseconds, RegionId, ServiceId } from "@chalkdale/kernel";

/** Whether a request may run more than once. Downloads are idempotent and have large answers; uploads run at most once and have large bodies. */
export type RouteKind = "safe" | "unsafe" | "download" | "upload";

/** One destination of a route and its part of the requests. */
export interface WeightedService {
    readonly service: ServiceId;
    /** Relative to the other destinations of the route; 0 gets nothing. */
    readonly weight: number;
}

/** Where requests of one host and path prefix go, and within which limits. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** One destination, or several between which requests are divided. */
    readonly destinations: readonly WeightedService[];
    /** Time within which an answer is worth its full credit. */
    readonly goal: Milliseconds;
    /** Longest time that a request is held. */
    readonly timeout: Milliseconds;
    /** Most servers that one request may be sent to. */
    readonly maxAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Servers work faster on an object that they worked on lately. */
    readonly sticky: boolean;
    /** The only regions that may serve the route; empty when all may. */
    readonly homeRegions: readonly RegionId[];
    /** Needs no key, whoever may ask elsewhere. */
    readonly isPublic: boolean;
}

/** One customer: whose requests are counted together, and how its callers show that they are its own. */
export interface Customer {
    readonly id: CustomerId;
    /** A key belongs to one customer at a time; later versions add keys and take them away. */
    readonly keys: readonly CustomerKey[];
    /** Goes before the priority of the route, 0 is the most urgent; undefined if the customer has none. */
    readonly priority: number | undefined;
    /** Requests that all boxes together admit; undefined when there is no limit. */
    readonly quota: CustomerQuota | undefined;
    /** The only regions that may serve the customer; empty when all may. */
    readonly homeRegions: readonly RegionId[];
}

/** Bound on a customer's requests over all boxes. */
export interface CustomerQuota {
    /** Requests a second. */
    readonly rate: number;
    /** Requests besides, in any window. */
    readonly burst: number;
}

/** Who may ask: anyone, or only callers with a key of a customer. */
export type CallerAccess =
    | { readonly kind: "anyone"; }
    | { readonly kind: "customers"; readonly customers: readonly Customer[]; };

/** What all servers of one service have in common. */
export interface Service {
    readonly id: ServiceId;
    readonly healthPath: string;
    /** Connections that one server accepts from all callers together. */
    readonly maxConnections: number;
    /** Time for which a newly started server is cold. */
    readonly warmup: Milliseconds;
    /** Requests a second that a cold server can serve, from all boxes together. */
    readonly coldRate: number;
}

/** Bounds on what a caller may send. Sizes in bytes. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** A whole configuration. */
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
