/**
 * Incarnations of a backend server, each from a start of the server to its end, and
 * the order of the incarnations that two records belong to.
 *
 * A server may restart under the same id. It then has none of its earlier state, so
 * nothing that a box has learned of it applies any longer: its load, speed, failures
 * and keys, or that it was leaving.
 *
 * Records are ordered by their revision in the store, and replicas keep that order.
 * The time of birth only shows whether two records belong to one incarnation, since
 * the clocks of servers differ. There is one exception: a later record with an earlier
 * time of birth may be a delayed write of the earlier incarnation.
 *
 * Owns nothing.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { BackendServerRecord } from "./server-record.js";

/** The incarnation of a newer record of a known server, relative to the previous record. */
export type IncarnationOrder = "same" | "later" | "earlier";

/**
 * Milliseconds for which a record with an earlier time of birth is taken for a delayed write, and the server gets no
 * requests: three times the 1.5 s after which the later incarnation writes its record again. If that does not happen,
 * the clock of the known incarnation was ahead and the record is of a new one.
 */
export const lateWriteGracePeriod: Milliseconds = milliseconds(4500);

/**
 * Compares the incarnations of two records of one server. Records without a time of birth, as in snapshots of earlier
 * releases, count as the same.
 */
export function compareIncarnations(next: BackendServerRecord, known: BackendServerRecord): IncarnationOrder {
    if (next.bornAt === undefined || known.bornAt === undefined || next.bornAt === known.bornAt) {
        return "same";
    }
    return next.bornAt > known.bornAt ? "later" : "earlier";
}

/**
 * Merges a newer record of the same incarnation into the known one. If both have a time of birth, draining is not
 * revoked: a record without it was written earlier. The known time of birth is kept if a snapshot of an earlier release
 * lacks it.
 */
export function mergeSameIncarnation(next: BackendServerRecord, known: BackendServerRecord): BackendServerRecord {
    if (known.bornAt === undefined) {
        return next;
    }
    const keepsDraining = known.draining && next.bornAt === known.bornAt;
    return { ...next, bornAt: known.bornAt, draining: next.draining || keepsDraining };
}
