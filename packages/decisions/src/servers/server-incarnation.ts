/**
 * One life of a backend server, from a start to its end, and which of two records
 * speaks of which life.
 *
 * A server may start again under the id that it had. It then holds and knows
 * nothing of before, so nothing that a box has learned of it holds on: not its load,
 * speed, failures and keys, nor that it was leaving.
 *
 * The order of two records is that of the store, by revision; the copies keep it.
 * When a server was born only tells whether both speak of one life, since servers'
 * clocks differ, with one exception: a record of an earlier birth that comes later
 * may be a write of the earlier life that was done late.
 *
 * Owns nothing.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { BackendServerRecord } from "./server-record.js";

/** Of which life a newer record of a known server speaks, seen from the record before. */
export type IncarnationOrder = "same" | "later" | "earlier";

/**
 * Milliseconds for which a record of an earlier birth is taken for a write that was done late, and the server gets nothing: three
 * times the 1.5 s after which the later life writes again. If it does not, its clock had run ahead and the record is of a new life.
 */
export const lateWriteGracePeriod: Milliseconds = milliseconds(4500);

/** Compares the lives of two records of one server. Without a time of birth, as in copies of earlier releases, an id is one life. */
export function compareIncarnations(next: BackendServerRecord, known: BackendServerRecord): IncarnationOrder {
    if (next.bornAt === undefined || known.bornAt === undefined || next.bornAt === known.bornAt) {
        return "same";
    }
    return next.bornAt > known.bornAt ? "later" : "earlier";
}

/**
 * A newer record of the same life. A life that has said that it is leaving does not take that back: such a record was written
 * before. It keeps the time of birth that a copy of an earlier release has left out.
 */
export function mergeSameIncarnation(next: BackendServerRecord, known: BackendServerRecord): BackendServerRecord {
    if (known.bornAt === undefined) {
        return next;
    }
    const hasLeft = known.draining && next.bornAt === known.bornAt;
    return { ...next, bornAt: known.bornAt, draining: next.draining || hasLeft };
}
