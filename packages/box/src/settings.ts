/**
 * Settings of one box: its place, its addresses and the bounds that its
 * decisions keep.
 *
 * Owns nothing; read once, at the start.
 */

import type { QuotaTolerance, RolloutBounds } from "@chalkdale/decisions";
import type { AvailabilityZoneId, BoxId, Milliseconds, RegionId } from "@chalkdale/kernel";
import type { Address } from "@chalkdale/runtime";

/** Bounds that decisions keep. */
export interface BoxBounds {
    /** Retries allowed for each request of a service. */
    readonly retryRatio: number;
    readonly retryWindow: Milliseconds;
    /** Retries allowed besides, for all boxes together, in one window. */
    readonly retryAllowance: number;
    /** Time between the signal to stop and the kill. */
    readonly shutdownGracePeriod: Milliseconds;
    /** How long callers may keep an answer of the directory. */
    readonly lookupLifetime: Milliseconds;
    /** Time in which a change of the shared state must be in force on every box. */
    readonly maxPropagationDelay: Milliseconds;
    /**
     * Time after which a box that may not know of a revoked key admits no key; undefined where it goes on by the copy
     * that it has.
     */
    readonly maxKeyCopyAge: Milliseconds | undefined;
    /** What may be admitted beyond a customer's quota in one window, from all boxes together. */
    readonly quotaTolerance: QuotaTolerance;
    /** Bounds on what a version that is not proven may get; undefined where versions are not rolled out by order. */
    readonly rollouts: RolloutBounds | undefined;
}

/** Settings of one box. */
export interface BoxSettings {
    readonly box: BoxId;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly regionOfZone: ReadonlyMap<AvailabilityZoneId, RegionId>;
    readonly callers: Address;
    readonly readiness: Address;
    readonly directory: Address;
    /** What the box can carry, as a number of processor cores. */
    readonly capacity: number;
    /** Bytes of memory that the box may use; undefined if it has no limit. */
    readonly memoryLimit: number | undefined;
    /** Other boxes reach this one here, over TCP and UDP. */
    readonly peers: Address;
    /** Where the box serves its metrics, if it does. */
    readonly metrics?: Address;
    /** Peer addresses of some boxes, which may be out of date. */
    readonly seeds: readonly string[];
    readonly bounds: BoxBounds;
}
