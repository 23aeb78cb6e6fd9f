/**
 * One box's part of one customer's quota: a token bucket by the lease of the box
 * that counts for the customer.
 *
 * Without a lease, as after a start or when the counting box is lost, the part is
 * small enough that the parts of all boxes together stay within the quota.
 *
 * Owns the bucket and what was seen since the last report.
 */

import { type CustomerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { CustomerQuota } from "../../shared-state/configuration.js";
import { leaseLifetime, type QuotaLease, type QuotaReport, type ReportedLevel } from "./quota-messages.js";

/** What decides on a request, besides the bucket. */
interface QuotaShareContext {
    readonly quota: CustomerQuota;
    /** Boxes that may admit requests of the customer. */
    readonly boxCount: number;
    /** Time since the start of this box while there may be none that counts; undefined after that. */
    readonly startingFor: Milliseconds | undefined;
    readonly at: Milliseconds;
}

/** A request that this box's part has no room for, and what that went by. */
export interface QuotaDenial {
    /** When there is room for one more. */
    readonly retryAfter: Milliseconds;
    /** Requests a second that this box may admit now. */
    readonly shareRate: number;
    /** Time since the lease came; undefined for an equal part of the boxes. */
    readonly leaseAge: Milliseconds | undefined;
    /** Boxes that may admit requests of the customer, as this box knows. */
    readonly boxCount: number;
}

/** A customer's part on one box. */
export interface QuotaShare {
    /** Takes a token for a request; undefined if there was one. */
    readonly consume: (context: QuotaShareContext) => QuotaDenial | undefined;
    /** True once a request came and no lease is there or on its way: the report is due at once. */
    readonly needsLease: (at: Milliseconds) => boolean;
    /** A request that was admitted has not run. */
    readonly refund: () => void;
    /** True until a lease answers the last report. */
    readonly isReportPending: () => boolean;
    readonly onLease: (lease: QuotaLease, at: Milliseconds) => void;
    /** This box stood still, and let nothing in by its lease. */
    readonly onProcessPause: (duration: Milliseconds) => void;
    /** What to tell the box that counts, if it is time to. */
    readonly dueReport: (at: Milliseconds) => QuotaReport | undefined;
    /** Requests let in and refused since the start. */
    readonly counts: () => { readonly admitted: number; readonly refused: number; };
}

/** Milliseconds between two reports of a customer that is calm: few messages, and its demand is known for twice as long. */
const calmReportInterval = 1500;
/** Milliseconds for which a lease is awaited before it is asked for again: a round of messages. */
const leaseAwaited = 300;
/** Part of the burst below which a calm customer is reported at once. */
const lowPartOfBurst = 0.5;
/**
 * Part of the rate of a lease that is used after that, by a box that may be cut off. A third of the boxes that are cut off
 * then add a twelfth of the quota, within the tenth that deployments allow.
 */
const partAfterLease = 0.25;
/**
 * Milliseconds for which the whole rate and the burst of a lease are used when nobody renews it and the boxes had let in too much: two rounds of
 * reports and the way.
 */
const debtLeaseUsed = 700;
/**
 * Part of the rate that is used after that. While demand rises, the leases of one round come to more than the quota, which the next round
 * takes back; if the boxes that count are lost, nobody does for some 3 s.
 */
const partOfDebtLease = 0.2;
/**
 * Milliseconds for which the burst of a lease is used when nobody renews it otherwise: the interval of calm reports, the 1 s until a silent box is
 * passed over, and the ways. Less refuses requests within a quota while the box that counts stands still, more oversteps the quota when it is lost.
 */
const burstUsed = 2600;
/** Seconds of its rate that a box may admit at once whatever the burst of its lease: what comes between two reports. */
const smallestBurst = 0.5;
/**
 * Requests that a box with a lease may admit at once at least: a small customer's come in pairs.
 */
const fewest = 2;
/** Seconds of an equal part that a box without a lease may admit at once: a start of all boxes grants that much anew. */
const firstBurst = 0.25;
/**
 * Equal parts that a box has while it starts and nobody counts yet: callers use few of the boxes. All boxes together may then let in so many
 * times what the quota earns in that time, 1.5 s at most; the box that counts takes the rest back within 2 s, which leaves 0.04 of a quota whose burst
 * is its rate over the 5 s after a start.
 */
const partsAtStart = 1.5;
/**
 * Requests that a box without a lease may admit at once where the bursts of all boxes allow it: the first ones of a small customer,
 * whose callers come to a box for the first time.
 */
const firstFew = 3;

/** Requests a second that a refused caller is told to wait for at least, so that it has a time to come back. */
const slowestRate = 0.2;

interface Bucket {
    tokens: number;
    refilledAt: Milliseconds;
}

/** Creates the part of a box that has no lease yet. */
export function createQuotaShare(customer: CustomerId, startedAt: Milliseconds): QuotaShare {
    let lease: QuotaLease | undefined;
    let leasedAt = startedAt;
    let bucket: Bucket | undefined;
    let reportedAt = startedAt;
    let reported = { asked: 0, admitted: 0 };
    /** The last report told of requests. */
    let wasNews = false;
    /** Requests that were told as let in since the last lease came. */
    let unanswered = 0;
    let asked = 0;
    let admitted = 0;
    let refused = 0;

    return {
        consume(context) {
            const { at, boxCount, quota } = context;
            asked += 1;
            bucket ??= { tokens: firstTokens(context), refilledAt: at };
            const rate = lease === undefined ? unleasedRate(context) : Math.min(quota.rate, leasedRate(lease, at));
            refill(bucket, rate, lease === undefined ? unleasedBurst(context) : leasedBurst(lease, at), at);
            if (bucket.tokens < 1) {
                refused += 1;
                return {
                    retryAfter: milliseconds((1 - bucket.tokens) * 1000 / Math.max(rate, slowestRate)),
                    shareRate: rate,
                    leaseAge: lease && milliseconds(at - leasedAt),
                    boxCount,
                };
            }
            bucket.tokens -= 1;
            admitted += 1;
            return undefined;
        },
        needsLease: at =>
            lease === undefined && asked > reported.asked && (!wasNews || at - reportedAt >= leaseAwaited),
        refund() {
            admitted -= 1;
            if (bucket !== undefined) {
                bucket.tokens += 1;
            }
        },
        isReportPending: () => lease === undefined || leasedAt < reportedAt,
        onLease(next, at) {
            if (!wasNews) {
                return;
            }
            bucket ??= { tokens: 1, refilledAt: at };
            refill(bucket, lease === undefined ? 0 : leasedRate(lease, at), burstOf(next), at);
            if (next.hasHeadroom) {
                bucket.tokens = burstOf(next);
            }
            lease = next;
            leasedAt = at;
            unanswered = 0;
        },
        onProcessPause(duration) {
            leasedAt = milliseconds(leasedAt + duration);
        },
        dueReport(at) {
            if (!isReportDue(at)) {
                return undefined;
            }
            wasNews = asked > reported.asked;
            const report = {
                customer,
                requested: asked - reported.asked,
                admitted: admitted - reported.admitted,
                since: milliseconds(at - reportedAt),
                unacknowledged: unanswered,
                lastLevel: lastLevel(at),
            };
            unanswered += report.admitted;
            if (!wasNews) {
                lease = undefined;
            }
            reported = { asked, admitted };
            reportedAt = at;
            return report;
        },
        counts: () => ({ admitted, refused }),
    };

    function lastLevel(at: Milliseconds): ReportedLevel | undefined {
        return lease?.level === undefined ? undefined : { level: lease.level, age: milliseconds(at - leasedAt) };
    }

    /** The lease's rate, less of it once nobody has renewed it for long. */
    function leasedRate(current: QuotaLease, at: Milliseconds): number {
        const age = at - leasedAt;
        if (age > leaseLifetime) {
            return current.rate * partAfterLease;
        }
        return isInDebt(current) && age > debtLeaseUsed ? current.rate * partOfDebtLease : current.rate;
    }

    function leasedBurst(current: QuotaLease, at: Milliseconds): number {
        return at - leasedAt <= (isInDebt(current) ? debtLeaseUsed : burstUsed) ? burstOf(current) : 1;
    }

    /** At once while the customer is near its quota or this box's burst is low; else at times, and once more when it asks no more. */
    function isReportDue(at: Milliseconds): boolean {
        const isNews = asked > reported.asked || admitted !== reported.admitted;
        if (at - reportedAt >= calmReportInterval) {
            return isNews || wasNews;
        }
        // A calm customer's next report must not wait while nobody has answered the last one: its lease would grow old.
        const isOverdue = leasedAt < reportedAt && at - reportedAt >= leaseAwaited;
        const isCalm = lease?.hasHeadroom === true && (bucket?.tokens ?? 0) >= lease.burst * lowPartOfBurst;
        return isNews && (isOverdue || !isCalm);
    }
}

/** True if more had been let in than the quota allows: each box gives back its part of that until it hears more. */
function isInDebt({ hasHeadroom: isCalm, level }: QuotaLease): boolean {
    return level === undefined ? !isCalm : level <= 0;
}

function refill(bucket: Bucket, rate: number, most: number, at: Milliseconds): void {
    const earned = rate * Math.max(0, at - bucket.refilledAt) / 1000;
    bucket.tokens = Math.min(most, bucket.tokens + earned);
    bucket.refilledAt = at;
}

/**
 * What a box without a lease begins with. While it starts, its part has been earned since. Without that, a customer whose callers use
 * few boxes is refused before any box counts.
 */
function firstTokens(context: QuotaShareContext): number {
    const earned = (context.startingFor ?? 0) / 1000 * unleasedRate(context);
    return Math.min(unleasedBurst(context), firstPart(context) + earned);
}

function unleasedRate({ boxCount, quota, startingFor }: QuotaShareContext): number {
    return quota.rate / boxCount * (startingFor === undefined ? 1 : partsAtStart);
}

function unleasedBurst(context: QuotaShareContext): number {
    const { boxCount, quota, startingFor } = context;
    return startingFor === undefined
        ? firstPart(context)
        : Math.max(firstPart(context), quota.burst / boxCount * partsAtStart);
}

function firstPart({ boxCount, quota }: QuotaShareContext): number {
    return Math.max(1, quota.rate / boxCount * firstBurst, Math.min(firstFew, quota.burst / boxCount));
}

function burstOf(lease: QuotaLease): number {
    return Math.max(fewest, lease.burst, lease.rate * smallestBurst);
}
