/**
 * Allocates one customer's quota among the boxes: takes the reports of all boxes and answers each with a lease. A
 * customer has a primary and a standby coordinator; each runs an allocator of its own.
 *
 * Shares follow the demand that each box reports, so callers that use few boxes are not refused while the shares of
 * other boxes are unused. Requests admitted beyond the quota lower the level (see `quota-level`), and smaller shares
 * compensate for them.
 *
 * Owns the demand and the lease of each box; all of it may be lost.
 */

import type { BoxId, CustomerId, Milliseconds } from "@chalkdale/kernel";
import type { CustomerQuota } from "../../shared-state/configuration.js";
import { coordinatorSettleTime, createQuotaLevel, type PresumedUse } from "./quota-level.js";
import { leaseLifetime, type QuotaLease, type QuotaReport } from "./quota-messages.js";

/** Allocates the quota of one customer. */
export interface QuotaAllocator {
    /**
     * True if no box has reported for so long that another coordinator may have allocated the quota in the meantime.
     * Once all boxes have returned their leases, silence only means that no requests have come, unless the coordinators
     * have changed since the last report.
     */
    readonly isStale: (at: Milliseconds, coordinatorsUnchangedFor: number) => boolean;
    /**
     * True if the box should keep its lease of another coordinator: until this one has reports of all boxes, it
     * allocates little more than equal shares. Once a box has had a lease of this coordinator, no lease is withheld
     * from it.
     */
    readonly withholdsLease: (box: BoxId, report: QuotaReport, at: Milliseconds) => boolean;
    /** Takes a box's report and returns the box's lease. */
    readonly onReport: (box: BoxId, report: QuotaReport, context: QuotaContext) => QuotaLease;
}

/** What a lease depends on, besides the reports. */
interface QuotaContext {
    readonly quota: CustomerQuota;
    /** Number of boxes that the directory returns to callers. */
    readonly boxCount: number;
    readonly at: Milliseconds;
}

/** Milliseconds over which a box's demand is averaged: two rounds of reports. */
const demandWindow = 500;
/**
 * Milliseconds over which a level above or below zero is allocated or compensated for: several times the delay from a
 * report to its lease, 0.3 to 0.4 s, so that the level does not oscillate.
 */
const levelWindow = 2000;
/**
 * Milliseconds without a report after which a box is silent: the report interval while the customer has headroom, plus
 * two rounds and the delay of a message.
 */
const silentAfter = 2200;
/** Fraction of the rate that is always allocated, however far the level is below zero. */
const minRateFraction = 0.1;
/**
 * The bursts of all boxes add up to this many times the level: a customer's callers use few boxes at a time, and
 * requests beyond the quota are charged within one round.
 */
const burstOvercommit = 2;
/**
 * Fraction of the burst above which the level means headroom. A criterion based on demand would overrate single
 * requests of small customers.
 */
const headroomFraction = 0.5;
/**
 * The same for the first lease of a box: callers that move to another box bring their rate along at once, and what they
 * used at the previous box is charged later.
 */
const firstLeaseHeadroomFraction = 0.4;
/**
 * Milliseconds added to `demandWindow`, divided by one plus the reported requests: few requests say little about a
 * rate.
 */
const fewRequestsWindow = 3000;

/**
 * Milliseconds without any report after which an allocator knows too little: twice the report interval while the
 * customer has headroom.
 */
const staleAfter = 3000;

/**
 * Age in milliseconds up to which another coordinator's lease is better than one of a new coordinator. An older lease
 * might not last until the box's next report, which comes later while the customer has headroom.
 */
const maxFreshLeaseAge = 1000;

/** The latest demand of a box, and its lease. */
interface BoxDemand extends PresumedUse {
    /** Demand in requests a second, refused ones included. */
    rate: number;
    reportedAt: Milliseconds;
}

/**
 * Creates the allocator of a box that becomes coordinator at the given time.
 *
 * @param earned requests that the customer has earned and not used, known because no other box can have been its
 * coordinator; 0 if another one may have been, whose leases may still be in use.
 */
export function createQuotaAllocator(startedAt: Milliseconds, earned = 0): QuotaAllocator {
    const demands = new Map<BoxId, BoxDemand>();
    const leasedTo = new Set<BoxId>();
    const level = createQuotaLevel(startedAt, earned);
    let reportedAt = startedAt;

    return {
        isStale(at, coordinatorsUnchangedFor) {
            const silentFor = at - reportedAt;
            return silentFor > staleAfter && (demands.size > 0 || silentFor > coordinatorsUnchangedFor);
        },
        withholdsLease(box, { lastLevel }, at) {
            const hasFreshLease = lastLevel !== undefined && lastLevel.age < maxFreshLeaseAge;
            if (isSettling(at) && hasFreshLease && !leasedTo.has(box)) {
                return true;
            }
            leasedTo.add(box);
            return false;
        },
        onReport(box, report, context) {
            const { at, quota } = context;
            const known = demands.get(box);
            level.advance(quota, at, [...demands.values()].filter(demand => isSilent(demand, at)));
            level.reconcile(report, quota, at, known === undefined);
            level.charge(report.admitted, known);
            const boxDemand = updateDemand(box, report, at);
            const lease = leaseFor(box, boxDemand.rate, known === undefined, report.customer, context);
            boxDemand.leasedRate = lease.rate;
            reportedAt = at;
            if (report.requested === 0) {
                demands.delete(box);
            }
            return lease;
        },
    };

    function isSettling(at: Milliseconds): boolean {
        return at - startedAt < coordinatorSettleTime;
    }

    function leaseFor(
        box: BoxId,
        ownDemand: number,
        isFirst: boolean,
        customer: CustomerId,
        { at, boxCount, quota }: QuotaContext,
    ): QuotaLease {
        const demand = sumDemand(at);
        const boxes = Math.max(1, boxCount, demands.size);
        const current = level.current();
        if (isSettling(at)) {
            const rate = Math.min(shareOf(ownDemand, demand, quota.rate, boxes), unleasedRate(box, quota.rate, boxes));
            const hasHeadroom = earned > 0 && current > quota.burst * headroomFraction;
            return { customer, rate, burst: Math.max(1, current / boxes), hasHeadroom, level: current };
        }
        // While demand is below the rate, the bursts alone allocate a positive level.
        const fromLevel = demand > quota.rate || current < 0 ? current * 1000 / levelWindow : 0;
        const usable = Math.max(quota.rate * minRateFraction, quota.rate + fromLevel);
        return {
            customer,
            rate: shareOf(ownDemand, demand, usable, boxes),
            burst: Math.max(1, burstOvercommit * current / boxes),
            hasHeadroom: current > quota.burst * (isFirst ? firstLeaseHeadroomFraction : headroomFraction),
            level: current,
        };
    }

    /**
     * Returns the part of the rate that is not leased to other boxes, at least an equal share. If another box may have
     * been coordinator, each box that has not reported is presumed to hold a lease of an equal share; otherwise it has
     * no lease and will report with its first request. Equal shares for all boxes would refuse requests of a customer
     * well within its quota if its callers use few of the boxes.
     */
    function unleasedRate(box: BoxId, rate: number, boxes: number): number {
        const equalShare = rate / boxes;
        const unreported = earned > 0 ? 0 : boxes - demands.size;
        let left = rate - unreported * equalShare;
        for (const [other, { leasedRate }] of demands) {
            left -= other === box ? 0 : leasedRate;
        }
        return Math.max(left, equalShare);
    }

    function updateDemand(box: BoxId, report: QuotaReport, at: Milliseconds): BoxDemand {
        const since = Math.max(1, report.since);
        const observedRate = report.requested * 1000 / since;
        const demand = demands.get(box) ?? { rate: 0, leasedRate: 0, reportedAt: at, presumed: 0 };
        const window = demandWindow + fewRequestsWindow / (1 + report.requested);
        demand.rate += (observedRate - demand.rate) * Math.min(1, since / window);
        demand.reportedAt = at;
        demands.set(box, demand);
        return demand;
    }

    /** Returns the demand of all boxes in requests a second. Silent boxes don't count, since they may have stopped. */
    function sumDemand(at: Milliseconds): number {
        let sum = 0;
        for (const [box, known] of demands) {
            if (at - known.reportedAt > leaseLifetime) {
                demands.delete(box);
            }
            else if (!isSilent(known, at)) {
                sum += known.rate;
            }
        }
        return sum;
    }
}

/** True for a box that may be cut off while it still uses its lease. */
function isSilent({ reportedAt }: BoxDemand, at: Milliseconds): boolean {
    return at - reportedAt > silentAfter && at - reportedAt <= leaseLifetime;
}

/**
 * Returns a box's share of the usable rate: its demand and an equal part of what demand leaves over, or, if the total
 * demand exceeds the usable rate, a share in proportion to its demand.
 */
function shareOf(ownDemand: number, demand: number, usable: number, boxes: number): number {
    return demand > usable ? usable * ownDemand / demand : ownDemand + (usable - demand) / boxes;
}
