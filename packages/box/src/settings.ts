/**
 * Settings of one box: its locality, its addresses, and the bounds that its
 * decisions must respect.
 *
 * Owns nothing; the settings are read once, at the start.
 */

import type { QuotaTolerance, RolloutBounds } from "@chalkdale/decisions";
import type { AvailabilityZoneId, BoxId, Milliseconds, RegionId } from "@chalkdale/kernel";
import type { Address } from "@chalkdale/runtime";

/** Bounds that the decisions of a box must respect. */
export interface BoxBounds {
    /** Retries allowed for each request of a service. */
    readonly retryRatio: number;
    readonly retryWindow: Milliseconds;
    /** Further retries allowed in one window, for all boxes together. */
    readonly retryAllowance: number;
    /** Time between the stop signal and the kill. */
    readonly shutdownGracePeriod: Milliseconds;
    /** How long callers may cache an answer of the directory. */
    readonly lookupLifetime: Milliseconds;
    /** Time within which a change of the shared state must be in force on every box. */
    readonly maxPropagationDelay: Milliseconds;
    /**
     * Once its copy of the keys is this old, a box admits no key, since any may have been revoked; undefined if the box
     * keeps using the copy that it has.
     */
    readonly maxKeyCopyAge: Milliseconds | undefined;
    /** What all boxes together may admit beyond a customer's quota in one window. */
    readonly quotaTolerance: QuotaTolerance;
    /** Bounds on the requests to a version that is not proven; undefined if the boxes do not control roll-outs. */
    readonly rollouts: RolloutBounds | undefined;
}

/** Settings of one box. */
export interface BoxSettings {
    readonly box: BoxId;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly regionOfZone: ReadonlyMap<AvailabilityZoneId, RegionId>;
    /** Where the box serves requests of callers. */
    readonly callers: Address;
    /** Where the box answers readiness checks. */
    readonly readiness: Address;
    /** Where the box serves the directory of boxes to callers. */
    readonly directory: Address;
    /** Capacity of the box in processor cores. */
    readonly capacity: number;
    /** Bytes of memory that the box may use; undefined if there is no limit. */
    readonly memoryLimit: number | undefined;
    /** File descriptors that the box may use; undefined if there is no limit. */
    readonly descriptorLimit: number | undefined;
    /** Where other boxes reach this one, over TCP and UDP. */
    readonly peers: Address;
    /** Where the box serves its metrics; left out if it serves none. */
    readonly metrics?: Address;
    /** Peer addresses of some boxes; they may be outdated. */
    readonly seeds: readonly string[];
    readonly bounds: BoxBounds;
}
