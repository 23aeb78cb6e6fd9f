/**
 * Validates the record of a box wherever it arrives: in a datagram, in an answer of another box, or from the store, where
 * other writers may leave odd entries.
 *
 * Owns nothing.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { isUsableAddress } from "@chalkdale/runtime";

/** True for a record of which every field that a box reads has its type, and to whose address something can be sent. */
export function isMemberRecord(value: unknown): value is MemberRecord {
    const record = value as Partial<MemberRecord> | null | undefined;
    return typeof record?.box === "string" && typeof record.incarnation === "string"
        && typeof record.region === "string" && typeof record.zone === "string"
        && typeof record.peerAddress === "string" && isUsableAddress(record.peerAddress)
        && typeof record.callerAddress === "string"
        && [record.heartbeat, record.capacity, record.load].every(Number.isFinite);
}
