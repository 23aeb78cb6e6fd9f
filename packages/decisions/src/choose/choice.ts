/**
 * What the choice of a server is asked, and what it answers.
 *
 * Owns nothing; the choice and its parts share these types.
 */

import type { BackendServerId, Milliseconds, RegionId, ServiceId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import type { Route } from "../shared-state/configuration.js";

/** What is asked of the choice. */
export interface ChoiceRequest {
    readonly route: Route;
    readonly service: ServiceId;
    /** Hash of the affinity key, or a random number for a request without one. */
    readonly keyHash: number;
    /** The only regions whose servers may have the request, by its route and its customer; undefined when all may. */
    readonly allowedRegions: ReadonlySet<RegionId> | undefined;
    /** Servers that already had this request. */
    readonly tried: ReadonlySet<BackendServerId>;
    /** Time until the request must be answered. */
    readonly timeLeft: Milliseconds;
    /** The caller has asked before, so it waits longer before it is sent away again. */
    readonly isCallerRetry: boolean;
    /** The request tries a version that is not proven yet, and may only go to a server of its sample. */
    readonly isTrial: boolean;
    readonly at: Milliseconds;
}

/** The chosen server, and what the choice went by. */
export interface ChosenServer {
    readonly kind: "chosen";
    readonly server: BackendServer;
    /** Place in the ranking of the key, from 0. */
    readonly rank: number;
    /** The server is taken to know the key. */
    readonly warm: boolean;
    /** Expected time until the answer. */
    readonly expected: Milliseconds;
    /** The answer is not expected before this time. */
    readonly minExpected: Milliseconds;
    /** A part of `expected`: the wait for a free slot. */
    readonly wait: Milliseconds;
    /** What `expected` would be at a server of ordinary speed. */
    readonly expectedAtNormalSpeed: Milliseconds;
    /** The server that came second, if others were compared. */
    readonly runnerUp?: { readonly server: BackendServerId; readonly expected: Milliseconds; };
}

/** A chosen server, or why there is none. */
export type Choice =
    | ChosenServer
    /** No server may take the request, and none is in slow start. */
    | { readonly kind: "noServer"; }
    /** Servers in slow start have had their share of requests for now. */
    | { readonly kind: "allCold"; }
    /** Servers that name limits have had what they take for now. */
    | { readonly kind: "allLimited"; }
    /** Servers want nothing from this box for a while. */
    | { readonly kind: "allBackedOff"; }
    /** Not even the least time fits into what is left. */
    | { readonly kind: "tooLate"; readonly expected: Milliseconds; }
    /** The wait for a free slot, of this length, is longer than the request may wait. */
    | { readonly kind: "crowded"; readonly wait: Milliseconds; };
