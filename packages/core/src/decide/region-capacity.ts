/**
 * What one box may send to each region per second.
 *
 * The floor of every configured box is its fixed part of the region's
 * capacity; leased units come on top until they lapse. Since the floors and
 * the leases together never exceed the capacity, no region is pushed past it,
 * whoever is cut off or paused. A box uses its floor only while it has been
 * in touch with a peer or the platform, so that a replacement that bears its
 * name can take the floor over after the same time.
 */

import { type Milliseconds, milliseconds, type RegionId } from "../kernel/ids.js";
import { Ok, type Result } from "../kernel/result.js";
import { type CompiledRegion, floorOf } from "../settings/compiled.js";
import { type Bucket, type BucketEmpty, createBucket } from "./bucket.js";
import { type HeldCapacity, nothingHeld } from "./capacity-lease.js";

/** Rights that a box has been given, on its own monotonic clock. */
export interface CapacityRights {
    readonly leased: HeldCapacity;
    /** The floor may be used from this time. */
    readonly floorFrom: Milliseconds;
    /** The floor may be used until this time. */
    readonly floorUntil: Milliseconds;
}

/** A box without any right. */
export const noRights: CapacityRights = {
    leased: nothingHeld,
    floorFrom: milliseconds(Infinity),
    floorUntil: milliseconds(-Infinity),
};

/** The limits of one box towards all regions. */
export interface RegionCapacity {
    /** Takes the cost of a request to a region, or says how long to wait. */
    readonly take: (region: CompiledRegion, cost: number, at: Milliseconds) => Result<void, BucketEmpty>;
    /** Returns the cost of a request that was not sent. */
    readonly putBack: (region: CompiledRegion, cost: number) => void;
    /** Takes the cost of a request on the link between two regions; free within one region. */
    readonly takeLink: (
        from: CompiledRegion,
        to: CompiledRegion,
        at: Milliseconds,
    ) => Result<void, BucketEmpty>;
    /** Replaces the rights. */
    readonly setRights: (rights: CapacityRights) => void;
    /** Returns the units per second that may be used at a time. */
    readonly unitsAt: (region: CompiledRegion, at: Milliseconds) => number;
}

/** Creates the limits of a box that stands in a region and has no rights yet. */
export function createRegionCapacity(ownRegion: RegionId, startedAt: Milliseconds): RegionCapacity {
    const regionBuckets = new Map<string, Bucket>();
    const linkBuckets = new Map<string, Bucket>();
    let rights = noRights;

    return {
        take: (region, cost, at) => bucketOf(regionBuckets, region.id).take(cost, unitsAt(region, at), at),
        putBack: (region, cost) => bucketOf(regionBuckets, region.id).putBack(cost),
        takeLink,
        setRights(next) {
            rights = next;
        },
        unitsAt,
    };

    function takeLink(from: CompiledRegion, to: CompiledRegion, at: Milliseconds): Result<void, BucketEmpty> {
        if (from.id === to.id) {
            return Ok(undefined);
        }
        const ownPart = to.values.linkLimit / from.boxCount;
        return bucketOf(linkBuckets, to.id).take(1, ownPart, at);
    }

    function unitsAt(region: CompiledRegion, at: Milliseconds): number {
        const floorHolds = at >= rights.floorFrom && at < rights.floorUntil;
        const floor = floorHolds ? floorOf(region, ownRegion) : 0;
        const leased = at < rights.leased.until ? rights.leased.units[region.id] ?? 0 : 0;
        return floor + leased;
    }

    function bucketOf(buckets: Map<string, Bucket>, name: string): Bucket {
        let bucket = buckets.get(name);
        if (bucket === undefined) {
            bucket = createBucket(startedAt);
            buckets.set(name, bucket);
        }
        return bucket;
    }
}
