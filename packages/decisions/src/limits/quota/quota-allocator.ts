/**
 * Counts one customer's requests over all boxes, and says which part of the
 * quota each box may use. One box counts for a customer at a time.
 *
 * Parts follow the demand that each box saw, so callers that choose among few boxes are
 * not refused while other boxes have room; what was let in too much is in the level
 * (`quota-level`), and smaller parts make up for it.
 *
 * Owns the boxes' demands and leases; all of it may be lost.
 */

import type { BoxId, CustomerId, Milliseconds } from "@chalkdale/kernel";
import type { CustomerQuota } from "../../shared-state/configuration.js";
import { coordinatorSettleTime, createQuotaLevel, type PresumedUse } from "./quota-level.js";
import { leaseLifetime, type QuotaLease, type QuotaReport } from "./quota-messages.js";

/** Counts for one customer. */
export interface QuotaAllocator {
    /**
     * True if no box has reported for so long that another box may have counted meanwhile. Where all boxes have given back their leases,
     * nobody has asked since, as long as the same boxes count.
     */
    readonly isStale: (at: Milliseconds, countersUnchangedFor: number) => boolean;
    /**
     * True if the box is better served by the lease that it has of another counter: until this one has heard of all boxes, it gives out
     * little more than equal parts. A box that has once had a lease of this one gets all later ones.
     */
    readonly withholdsLease: (box: BoxId, report: QuotaReport, at: Milliseconds) => boolean;
    /** Takes a box's report and answers with its part. */
    readonly onReport: (box: BoxId, report: QuotaReport, context: QuotaContext) => QuotaLease;
}

/** What a report is answered by, besides the reports. */
interface QuotaContext {
    readonly quota: CustomerQuota;
    /** Boxes that callers are named. */
    readonly boxCount: number;
    readonly at: Milliseconds;
}

/** Milliseconds over which a box's demand is averaged: two rounds of reports. */
const demandWindow = 500;
/**
 * Milliseconds in which a level above or below zero is given out or made up for: several times the delay of a report and
 * its answer, 0.3 to 0.4 s, so that the level does not swing.
 */
const levelWindow = 2000;
/** Milliseconds after which a box that has not reported counts as silent: the interval of calm reports, two rounds and the way. */
const silentAfter = 2200;
/** Part of the rate that is given out at least, however far the bucket is below zero. */
const leastPartOfRate = 0.1;
/**
 * Times the level that the bursts of all boxes make up together: a customer's callers use few boxes at a time, and what is
 * too much is charged within a round.
 */
const burstOvercommit = 2;
/**
 * Part of the burst above which the level shows that the customer is calm. A measure by demand would take
 * single requests of small customers for much.
 */
const calmPart = 0.5;
/**
 * The same for the first lease of a box: callers that move to another box bring their rate along at once, and what they asked for where they
 * were is charged later.
 */
const calmPartOfFirst = 0.4;
/** Milliseconds added to the window of demand for a report of one request, less for more: single requests say little of a rate. */
const fewRequestsWindow = 3000;

/** Milliseconds without a report after which a counter knows too little: twice the interval of calm reports. */
const staleAfter = 3000;

/**
 * Milliseconds for which a lease of another counter is better than one of a counter that has just begun: an older one has to last until the
 * next report of a calm customer.
 */
const leaseFresh = 1000;

/** What a box asked for last, and what it was given. */
interface BoxDemand extends PresumedUse {
    /** Requests a second. */
    rate: number;
    reportedAt: Milliseconds;
}

/**
 * Starts to count at the given time.
 *
 * @param earned requests that the customer has not used, since no box but this one can have counted for it; 0 where another one
 * may have, whose leases the boxes still use.
 */
export function createQuotaAllocator(startedAt: Milliseconds, earned = 0): QuotaAllocator {
    const demands = new Map<BoxId, BoxDemand>();
    const leasedTo = new Set<BoxId>();
    const level = createQuotaLevel(startedAt, earned);
    let reportedAt = startedAt;

    return {
        isStale(at, countersUnchangedFor) {
            const silentFor = at - reportedAt;
            return silentFor > staleAfter && (demands.size > 0 || silentFor > countersUnchangedFor);
        },
        withholdsLease(box, { lastLevel }, at) {
            const hasFreshLease = lastLevel !== undefined && lastLevel.age < leaseFresh;
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
            const own = noteDemand(box, report, at);
            const lease = leaseOf(box, own.rate, known === undefined, report.customer, context);
            own.leasedRate = lease.rate;
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

    function leaseOf(
        box: BoxId,
        own: number,
        isFirst: boolean,
        customer: CustomerId,
        { at, boxCount, quota }: QuotaContext,
    ): QuotaLease {
        const demand = sumDemand(at);
        const boxes = Math.max(1, boxCount, demands.size);
        const current = level.current();
        if (isSettling(at)) {
            const rate = Math.min(partOf(own, demand, quota.rate, boxes), unleased(box, quota.rate, boxes));
            const isCalm = earned > 0 && current > quota.burst * calmPart;
            return { customer, rate, burst: Math.max(1, current / boxes), hasHeadroom: isCalm, level: current };
        }
        // Below the rate the bursts give the level out.
        const fromLevel = demand > quota.rate || current < 0 ? current * 1000 / levelWindow : 0;
        const usable = Math.max(quota.rate * leastPartOfRate, quota.rate + fromLevel);
        return {
            customer,
            rate: partOf(own, demand, usable, boxes),
            burst: Math.max(1, burstOvercommit * current / boxes),
            hasHeadroom: current > quota.burst * (isFirst ? calmPartOfFirst : calmPart),
            level: current,
        };
    }

    /**
     * What the leases of the other boxes leave of the rate, an equal part at least. A box that has not reported may have a lease of
     * another box that counted, an equal part on average; else it has none and reports with its first request. With equal parts for all
     * a customer far within its quota would be refused whose callers use few of the boxes.
     */
    function unleased(box: BoxId, rate: number, boxes: number): number {
        const equalPart = rate / boxes;
        const unheard = earned > 0 ? 0 : boxes - demands.size;
        let left = rate - unheard * equalPart;
        for (const [other, { leasedRate }] of demands) {
            left -= other === box ? 0 : leasedRate;
        }
        return Math.max(left, equalPart);
    }

    function noteDemand(box: BoxId, report: QuotaReport, at: Milliseconds): BoxDemand {
        const since = Math.max(1, report.since);
        const seen = report.requested * 1000 / since;
        const demand = demands.get(box) ?? { rate: 0, leasedRate: 0, reportedAt: at, presumed: 0 };
        const window = demandWindow + fewRequestsWindow / (1 + report.requested);
        demand.rate += (seen - demand.rate) * Math.min(1, since / window);
        demand.reportedAt = at;
        demands.set(box, demand);
        return demand;
    }

    /** Requests a second that boxes ask for; one that is silent may be gone. */
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

/** True for a box that may be cut off: it still has its lease. */
function isSilent({ reportedAt }: BoxDemand, at: Milliseconds): boolean {
    return at - reportedAt > silentAfter && at - reportedAt <= leaseLifetime;
}

/** A box's part of what may be given out: its demand and an equal part of the rest, or as much less as all ask for more. */
function partOf(own: number, demand: number, usable: number, boxes: number): number {
    return demand > usable ? usable * own / demand : own + (usable - demand) / boxes;
}
