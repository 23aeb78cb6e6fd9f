/**
 * Reports and leases that boxes and quota coordinators exchange. Rates are requests a second.
 *
 * Owns no state; the box package encodes them for the messages between boxes.
 */

import type { CustomerId, Milliseconds } from "@chalkdale/kernel";

/**
 * Milliseconds for which the rate of a lease stays in use without renewal, and for which the coordinator reserves it
 * for the box. This covers an outage of the network between boxes: a box that is cut off serves its customers as
 * before, and the others leave it its share.
 */
export const leaseLifetime = 20_000;

/** What one box observed of a customer since its last report. A report without requests returns the lease. */
export interface QuotaReport {
    readonly customer: CustomerId;
    /** Requests that arrived, refused ones included. */
    readonly requested: number;
    /** Requests that the box admitted. */
    readonly admitted: number;
    /** Time since the last report; for the first report, since the box first saw the customer. */
    readonly since: Milliseconds;
    /**
     * Admitted requests of earlier reports that no lease has acknowledged yet: the coordinator that received them may
     * be lost.
     */
    readonly unacknowledged?: number;
    /** The level that the last lease carried. */
    readonly lastLevel?: ReportedLevel;
}

/**
 * Level of a customer's token bucket as its coordinator last reported it, in requests; below zero if too many were
 * admitted.
 */
export interface ReportedLevel {
    readonly level: number;
    /** Time since the lease with this level arrived. */
    readonly age: Milliseconds;
}

/** The share of a customer's quota that a box may use. */
export interface QuotaLease {
    readonly customer: CustomerId;
    readonly rate: number;
    /** Requests that the box may admit at once. */
    readonly burst: number;
    /** The customer's bucket is well filled: the box may use the full burst again with each lease. */
    readonly hasHeadroom: boolean;
    /** Level of the customer's bucket. Boxes report it to the next coordinator if this one is lost. */
    readonly level?: number;
}
