/**
 * Input and result of the choice of a server.
 *
 * Owns nothing; the modules of `choose/` share these types.
 */

import type { BackendServerId, Milliseconds, RegionId, ServiceId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import type { Route } from "../shared-state/configuration.js";

/** The request that a server is chosen for. */
export interface ChoiceRequest {
    readonly route: Route;
    /** The service that the request goes to. */
    readonly service: ServiceId;
    /** Hash of the affinity key, or a random number for a request without one. */
    readonly keyHash: number;
    /** Regions whose servers may serve the request, as its route and its customer allow; undefined if all may. */
    readonly allowedRegions: ReadonlySet<RegionId> | undefined;
    /** Servers to which earlier attempts of this request were sent. */
    readonly tried: ReadonlySet<BackendServerId>;
    /** Time left until the deadline of the request. */
    readonly timeLeft: Milliseconds;
    /** The caller retries after a refusal; such a request may wait longer for a slot before it is refused again. */
    readonly isCallerRetry: boolean;
    /**
     * The request belongs to the trial of a version that is not proven yet, and may only go to the sampled servers of
     * that version.
     */
    readonly isTrial: boolean;
    /** Time of the choice. */
    readonly at: Milliseconds;
}

/** The chosen server, and the estimates that it was chosen by. */
export interface ChosenServer {
    readonly kind: "chosen";
    readonly server: BackendServer;
    /** Position in the ranking of the key, from 0. */
    readonly rank: number;
    /** The server is expected to have worked on the key recently. */
    readonly warm: boolean;
    /** Expected time until the answer: round trip, wait and work. */
    readonly expected: Milliseconds;
    /** Lower bound of the expected time. */
    readonly minExpected: Milliseconds;
    /** Expected wait for a free slot, contained in `expected`. */
    readonly wait: Milliseconds;
    /** What `expected` would be at a server of normal speed. */
    readonly expectedAtNormalSpeed: Milliseconds;
    /** The second best server, if more than one was compared. */
    readonly runnerUp?: { readonly server: BackendServerId; readonly expected: Milliseconds; };
}

/** The chosen server, or the reason for choosing none. */
export type Choice =
    | ChosenServer
    /**
     * No server may take the request, for a reason other than slow start, a rate limit or a back-off. `excluded`: how
     * many servers are excluded for each reason, as `reason:count`, for the log.
     */
    | { readonly kind: "noServer"; readonly excluded?: string; }
    /** Servers in slow start have received as many requests from this box as their rate allows for now. */
    | { readonly kind: "allCold"; }
    /** Servers with a rate limit have received as many requests from this box as it allows for now. */
    | { readonly kind: "allLimited"; }
    /** Servers have asked this box to back off, and no other server may take its requests. */
    | { readonly kind: "allBackedOff"; }
    /** Even the lower bound of the expected time exceeds the time left. */
    | { readonly kind: "tooLate"; readonly expected: Milliseconds; }
    /** The expected wait for a free slot is longer than the request may wait. */
    | { readonly kind: "crowded"; readonly wait: Milliseconds; };
