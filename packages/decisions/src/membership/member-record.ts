/**
 * What boxes say about one box, and the order of boxes that all of them agree on.
 *
 * Owns nothing; the fields stand in the store and in the messages between boxes.
 */

import { type AvailabilityZoneId, type BoxId, hashText, type IncarnationId, type RegionId } from "@chalkdale/kernel";

/** What boxes say about one box. */
export interface MemberRecord {
    readonly box: BoxId;
    /** A later start of the box has a greater incarnation. */
    readonly incarnation: IncarnationId;
    /** Counts the rounds of the box: of two records of one incarnation the one with the greater heartbeat is newer. */
    readonly heartbeat: number;
    readonly leaving: boolean;
    /** False until the box can serve callers. */
    readonly ready: boolean;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    /** Where other boxes reach it. */
    readonly peerAddress: string;
    /** Where callers reach it. */
    readonly callerAddress: string;
    /** What it can carry, as a number of processor cores. */
    readonly capacity: number;
    /** What it carries now, in the same unit. */
    readonly load: number;
}

/**
 * Sorts boxes by what they can carry, the strongest first; boxes of equal capacity stand in an order of their own that is
 * the same on every box. Whatever all boxes must agree on without asking goes by it.
 */
export function sortByCapacity(records: readonly MemberRecord[]): MemberRecord[] {
    return records
        .map(record => ({ record, hash: hashText(record.box) }))
        .sort((a, b) => b.record.capacity - a.record.capacity || a.hash - b.hash)
        .map(({ record }) => record);
}
