/**
 * One box's share of one customer's quota: a token bucket that follows the lease of the customer's coordinator.
 *
 * Without a lease, as after a start or the loss of the coordinator, the share is small enough that the shares of all
 * boxes together stay within the quota.
 *
 * Owns the bucket and the counts of requests since the last report.
 */

import { type CustomerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { CustomerQuota } from "../../shared-state/configuration.js";
import { leaseLifetime, type QuotaLease, type QuotaReport, type ReportedLevel } from "./quota-messages.js";

/** What the decision on a request depends on, besides the bucket. */
interface QuotaShareContext {
    readonly quota: CustomerQuota;
    /** Number of boxes that may admit requests of the customer. */
    readonly boxCount: number;
    /** Time since the start of this box while there may be no coordinator yet; undefined after that. */
    readonly startingFor: Milliseconds | undefined;
    readonly at: Milliseconds;
}

/** Why a request exceeds this box's share, for the answer and the log. */
export interface QuotaDenial {
    /** Time until the bucket holds a token again. */
    readonly retryAfter: Milliseconds;
    /** Requests a second that this box may admit now. */
    readonly shareRate: number;
    /** Time since the lease was received; undefined without a lease. */
    readonly leaseAge: Milliseconds | undefined;
    /** Number of boxes that may admit requests of the customer, as far as this box knows. */
    readonly boxCount: number;
}

/** A customer's share on one box. */
export interface QuotaShare {
    /** Consumes a token for a request; returns undefined if there was one. */
    readonly consume: (context: QuotaShareContext) => QuotaDenial | undefined;
    /**
     * Consumes the next token for a request that was just denied, if it is earned within `maxWait`, or shortly if a
     * request had to be refused lately. True if the request may run once the denial's `retryAfter` has passed.
     */
    readonly reserve: (denial: QuotaDenial, maxWait: Milliseconds, at: Milliseconds) => boolean;
    /**
     * True if a request has come while there is no lease and no recent report asks for one: a report is due at once.
     */
    readonly needsLease: (at: Milliseconds) => boolean;
    /** Returns the token of a request that was admitted and has not run. */
    readonly refund: () => void;
    /** True until a lease answers the last report. */
    readonly isReportPending: () => boolean;
    readonly onLease: (lease: QuotaLease, at: Milliseconds) => void;
    /** This box's process was paused and admitted nothing under its lease, which therefore ages by that much less. */
    readonly onProcessPause: (duration: Milliseconds) => void;
    /** Returns the report for the coordinator if one is due. */
    readonly dueReport: (at: Milliseconds) => QuotaReport | undefined;
    /** Requests admitted and refused since the start. */
    readonly counts: () => { readonly admitted: number; readonly refused: number; };
}

/**
 * Milliseconds between two reports while the customer has headroom. This keeps messages few, and the coordinator keeps
 * its data for twice as long.
 */
const headroomReportInterval = 1500;
/** Milliseconds for which a lease is awaited before it is requested again: one round of messages. */
const leaseTimeout = 300;
/** Fraction of the burst below which a report is sent at once, even if the customer has headroom. */
const lowBurstFraction = 0.5;
/**
 * Fraction of a lease's rate that is used after the lease has expired, by a box that may be cut off. If a third of the
 * boxes are cut off, they add a twelfth of the quota, which is within the tenth that deployments allow.
 */
const expiredLeaseFraction = 0.25;
/**
 * Milliseconds without renewal for which the full rate and burst of a lease are used if the customer is in debt: two
 * rounds of reports and their delay.
 */
const debtLeaseTime = 700;
/**
 * Fraction of the rate that is used after that. While demand rises, the leases of one round add up to more than the
 * quota, which the next round corrects; if the coordinators are lost, nothing corrects it for about 3 s.
 */
const overdueDebtFraction = 0.2;
/**
 * Milliseconds without renewal for which the burst of any other lease is used: the report interval with headroom, the 1
 * s until an unresponsive coordinator is passed over, and the message delays. With a shorter time, requests within the
 * quota are refused while the coordinator's process is paused; with a longer one, the quota is exceeded when the
 * coordinator is lost.
 */
const burstTime = 2600;
/**
 * Seconds of its rate that a box may admit at once, however small its lease's burst: the requests between two reports.
 */
const minBurstSeconds = 0.5;
/** Requests that a box with a lease may always admit at once: the requests of a small customer come in pairs. */
const minBurst = 2;
/**
 * Seconds of an equal share that a box without a lease may admit at once. A start of all boxes grants that burst again.
 */
const unleasedBurstSeconds = 0.25;
/**
 * Equal shares that a box may use while it starts and there is no coordinator yet, since callers use few of the boxes.
 * All boxes together may then admit this many times what the quota earns in that time, which is at most 1.5 s. The
 * coordinator compensates for the excess within 2 s. If the quota's burst is one second of its rate, an excess of 0.04
 * of the quota remains over the 5 s after a start.
 */
const startupShares = 1.5;
/**
 * Requests that a box without a lease may admit at once, if its equal share of the quota's burst is as large. They
 * suffice for the first requests of a small customer whose callers are new to the box.
 */
const maxSmallBurst = 3;

/**
 * Milliseconds after a refusal in which tokens are reserved for short waits only: requests of a customer beyond its
 * quota would otherwise wait in a long queue that stays full.
 */
const exceededPeriod = 2000;
/** Longest wait in milliseconds in that time; its caller would need as long to come back. */
const maxWaitAfterRefusal = 50;

/** Lowest rate, in requests a second, that a refused caller's wait is computed with, so that the wait stays finite. */
const minRetryRate = 0.2;

interface Bucket {
    tokens: number;
    refilledAt: Milliseconds;
}

/** Creates the share of a box that has no lease yet. */
export function createQuotaShare(customer: CustomerId, startedAt: Milliseconds): QuotaShare {
    let lease: QuotaLease | undefined;
    let leasedAt = startedAt;
    let bucket: Bucket | undefined;
    let reportedAt = startedAt;
    let reported = { requested: 0, admitted: 0 };
    /** The last report contained requests. */
    let didReportRequests = false;
    /** Requests that were reported as admitted since the last lease was received. */
    let unacknowledged = 0;
    let requested = 0;
    let admitted = 0;
    let refused = 0;
    /** Latest time at which a token could not be reserved. */
    let exceededAt = -Infinity;

    return {
        consume(context) {
            const { at, boxCount, quota } = context;
            requested += 1;
            bucket ??= { tokens: initialTokens(context), refilledAt: at };
            const rate = lease === undefined ? unleasedRate(context) : Math.min(quota.rate, leasedRate(lease, at));
            refill(bucket, rate, lease === undefined ? unleasedBurst(context) : leasedBurst(lease, at), at);
            if (bucket.tokens < 1) {
                refused += 1;
                return {
                    retryAfter: milliseconds((1 - bucket.tokens) * 1000 / Math.max(rate, minRetryRate)),
                    shareRate: rate,
                    leaseAge: lease && milliseconds(at - leasedAt),
                    boxCount,
                };
            }
            bucket.tokens -= 1;
            admitted += 1;
            return undefined;
        },
        reserve({ retryAfter }, maxWait, at) {
            const limit = at - exceededAt < exceededPeriod ? Math.min(maxWait, maxWaitAfterRefusal) : maxWait;
            if (bucket === undefined || retryAfter > limit) {
                exceededAt = at;
                return false;
            }
            bucket.tokens -= 1;
            refused -= 1;
            admitted += 1;
            return true;
        },
        needsLease: at =>
            lease === undefined && requested > reported.requested
            && (!didReportRequests || at - reportedAt >= leaseTimeout),
        refund() {
            admitted -= 1;
            if (bucket !== undefined) {
                bucket.tokens += 1;
            }
        },
        isReportPending: () => lease === undefined || leasedAt < reportedAt,
        onLease(next, at) {
            if (!didReportRequests) {
                return;
            }
            bucket ??= { tokens: 1, refilledAt: at };
            refill(bucket, lease === undefined ? 0 : leasedRate(lease, at), burstOf(next), at);
            if (next.hasHeadroom) {
                bucket.tokens = burstOf(next);
            }
            lease = next;
            leasedAt = at;
            unacknowledged = 0;
        },
        onProcessPause(duration) {
            leasedAt = milliseconds(leasedAt + duration);
        },
        dueReport(at) {
            if (!isReportDue(at)) {
                return undefined;
            }
            didReportRequests = requested > reported.requested;
            const report = {
                customer,
                requested: requested - reported.requested,
                admitted: admitted - reported.admitted,
                since: milliseconds(at - reportedAt),
                unacknowledged,
                lastLevel: lastLevel(at),
            };
            unacknowledged += report.admitted;
            if (!didReportRequests) {
                lease = undefined;
            }
            reported = { requested, admitted };
            reportedAt = at;
            return report;
        },
        counts: () => ({ admitted, refused }),
    };

    function lastLevel(at: Milliseconds): ReportedLevel | undefined {
        return lease?.level === undefined ? undefined : { level: lease.level, age: milliseconds(at - leasedAt) };
    }

    /** Returns the lease's rate, reduced once the lease has not been renewed for too long. */
    function leasedRate(current: QuotaLease, at: Milliseconds): number {
        const age = at - leasedAt;
        if (age > leaseLifetime) {
            return current.rate * expiredLeaseFraction;
        }
        return isInDebt(current) && age > debtLeaseTime ? current.rate * overdueDebtFraction : current.rate;
    }

    function leasedBurst(current: QuotaLease, at: Milliseconds): number {
        return at - leasedAt <= (isInDebt(current) ? debtLeaseTime : burstTime) ? burstOf(current) : 1;
    }

    /**
     * A report of new requests is due at once while the customer lacks headroom, this box's bucket is low or the last
     * report is unanswered; otherwise at intervals. After the last requests, one report without requests returns the
     * lease.
     */
    function isReportDue(at: Milliseconds): boolean {
        const hasUnreported = requested > reported.requested || admitted !== reported.admitted;
        if (at - reportedAt >= headroomReportInterval) {
            return hasUnreported || didReportRequests;
        }
        // With headroom, the next report must not wait while the last one is unanswered, since the lease would expire.
        const isOverdue = leasedAt < reportedAt && at - reportedAt >= leaseTimeout;
        const isWellFilled = lease?.hasHeadroom === true && (bucket?.tokens ?? 0) >= lease.burst * lowBurstFraction;
        return hasUnreported && (isOverdue || !isWellFilled);
    }
}

/**
 * True if more was admitted than the quota allows. Each box then compensates for its share of the excess until its next
 * lease.
 */
function isInDebt({ hasHeadroom, level }: QuotaLease): boolean {
    return level === undefined ? !hasHeadroom : level <= 0;
}

function refill(bucket: Bucket, rate: number, capacity: number, at: Milliseconds): void {
    const earned = rate * Math.max(0, at - bucket.refilledAt) / 1000;
    bucket.tokens = Math.min(capacity, bucket.tokens + earned);
    bucket.refilledAt = at;
}

/**
 * Returns the first tokens of a box without a lease. While the box starts, they include what its share has earned since
 * the start. Otherwise a customer with callers on few boxes would be refused before there is a coordinator.
 */
function initialTokens(context: QuotaShareContext): number {
    const earned = (context.startingFor ?? 0) / 1000 * unleasedRate(context);
    return Math.min(unleasedBurst(context), baseBurst(context) + earned);
}

function unleasedRate({ boxCount, quota, startingFor }: QuotaShareContext): number {
    return quota.rate / boxCount * (startingFor === undefined ? 1 : startupShares);
}

function unleasedBurst(context: QuotaShareContext): number {
    const { boxCount, quota, startingFor } = context;
    return startingFor === undefined
        ? baseBurst(context)
        : Math.max(baseBurst(context), quota.burst / boxCount * startupShares);
}

function baseBurst({ boxCount, quota }: QuotaShareContext): number {
    return Math.max(1, quota.rate / boxCount * unleasedBurstSeconds, Math.min(maxSmallBurst, quota.burst / boxCount));
}

function burstOf(lease: QuotaLease): number {
    return Math.max(minBurst, lease.burst, lease.rate * minBurstSeconds);
}
