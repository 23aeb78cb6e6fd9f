/**
 * What boxes tell each other of customers' quotas. Rates are requests a second.
 *
 * Owns nothing; the box sends these between boxes as they are.
 */

import type { CustomerId, Milliseconds } from "@chalkdale/kernel";

/**
 * Milliseconds for which the rate of a lease is used when nobody renews it, and kept for the box that has it: an outage of
 * the paths between boxes. A box that is cut off serves its customers as before, and the others leave it its part.
 */
export const leaseLifetime = 20_000;

/** What one box saw of a customer since its last report. One without requests gives the lease back. */
export interface QuotaReport {
    readonly customer: CustomerId;
    /** Requests that came, refused ones included. */
    readonly requested: number;
    /** Requests that the box let in. */
    readonly admitted: number;
    /** Time since the last report; in the first one since the box knows the customer. */
    readonly since: Milliseconds;
    /** Requests let in that earlier reports told, to which no lease has answered: the box that counted may be lost with them. */
    readonly unacknowledged?: number;
    /** What the last lease told of the level. */
    readonly lastLevel?: ReportedLevel;
}

/** Level of a customer's bucket as the box that counts knew it, in requests; below zero for what was let in too much. */
export interface ReportedLevel {
    readonly level: number;
    /** Time since then. */
    readonly age: Milliseconds;
}

/** The part of a customer's quota that a box may use. */
export interface QuotaLease {
    readonly customer: CustomerId;
    readonly rate: number;
    /** Requests that the box may admit at once. */
    readonly burst: number;
    /** The customer is below its rate: the box may take the burst anew at each lease. */
    readonly hasHeadroom: boolean;
    /** Level of the customer's bucket, which boxes tell a box that counts after this one. */
    readonly level?: number;
}
