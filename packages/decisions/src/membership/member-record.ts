/**
 * The record of one box in the membership, and the order of boxes on which all boxes agree.
 *
 * Owns nothing. Records are written to the store and sent in messages between boxes, so their members keep their names.
 */

import { type AvailabilityZoneId, type BoxId, hashText, type IncarnationId, type RegionId } from "@chalkdale/kernel";

/** What boxes tell each other about one box. */
export interface MemberRecord {
    readonly box: BoxId;
    /** A later start of the box has a greater incarnation. */
    readonly incarnation: IncarnationId;
    /**
     * Counts the gossip rounds of the box: of two records of one incarnation, the one with the greater heartbeat is
     * newer.
     */
    readonly heartbeat: number;
    readonly leaving: boolean;
    /** False until the box can serve callers. */
    readonly ready: boolean;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    /** Address at which other boxes reach it. */
    readonly peerAddress: string;
    /** Address at which callers reach it. */
    readonly callerAddress: string;
    /** Load that the box can carry, as a number of processor cores. */
    readonly capacity: number;
    /** Load that the box carries now, in the same unit. */
    readonly load: number;
}

/**
 * Sorts boxes by capacity, the greatest first; boxes of equal capacity are sorted by a hash of their id, so the order
 * is the same on every box. Used for all decisions on which boxes must agree without messages.
 */
export function sortByCapacity(records: readonly MemberRecord[]): MemberRecord[] {
    return records
        .map(record => ({ record, hash: hashText(record.box) }))
        .sort((a, b) => b.record.capacity - a.record.capacity || a.hash - b.hash)
        .map(({ record }) => record);
}
