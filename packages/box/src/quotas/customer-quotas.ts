/**
 * Keeps customers' quotas over all boxes: decides on requests by this box's
 * parts, reports to the boxes that count, and counts for some customers itself.
 *
 * Owns the parts and the counts; all of it may be lost with the process. Relies
 * on the members for who counts, and on the link between boxes for messages,
 * any of which may be lost.
 */

import {
    advertisedBoxes,
    coordinatorFor,
    coordinatorPairFor,
    type CoordinatorSet,
    createCoordinatorLiveness,
    createQuotaAllocator,
    createQuotaShare,
    type Customer,
    type CustomerQuota,
    effectiveQuota,
    type MemberRecord,
    type Membership,
    type QuotaAllocator,
    type QuotaDenial,
    type QuotaLease,
    type QuotaReport,
    type QuotaShare,
    type QuotaTolerance,
} from "@chalkdale/decisions";
import { type BoxId, type Clock, type CustomerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { decodeLeases, decodeReports, encodeLeases, encodeReports, type QuotaMessage } from "./quota-messages.js";

export interface CustomerQuotasOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly membership: Membership;
    /** Who counts, found anew by each round. */
    readonly coordinators: CoordinatorSet;
    /** Boxes that callers are named. */
    readonly advertised: () => readonly MemberRecord[];
    readonly tolerance: QuotaTolerance;
    readonly findCustomer: (id: CustomerId) => Customer | undefined;
    readonly send: (box: MemberRecord, message: QuotaMessage) => void;
    /** Time since this box started. */
    readonly uptime: () => Milliseconds;
}

/** Counts of one customer on this box. */
export interface CustomerCounts {
    readonly customer: CustomerId;
    /** The customer's quota for all boxes together, in requests a second; 0 if it has none any more. */
    readonly rate: number;
    readonly admitted: number;
    readonly refused: number;
}

/** The quotas on one box. */
export interface CustomerQuotas {
    /** Takes a request of a customer into its quota; undefined if there is room. */
    readonly consume: (customer: Customer) => QuotaDenial | undefined;
    /** A request that was taken in has not run at any server. */
    readonly refund: (customer: Customer) => void;
    /** One round: who counts is found anew, and reports are sent. Due with each round of gossip. */
    readonly onGossipRound: () => void;
    /** Another box reported, or answered. */
    readonly onMessage: (from: MemberRecord, message: QuotaMessage) => void;
    readonly counts: () => readonly CustomerCounts[];
}

/**
 * Milliseconds after the start in which a box that hears of no other does not count: it may not know yet who else runs, and take
 * itself for the only one. Five rounds of gossip.
 */
const settleTime = 1500;
/**
 * Milliseconds without a change after which a box that starts takes the boxes that count for the ones that others find too: two rounds
 * of gossip. Until a box counts, parts are equal wherever callers come.
 */
const unchangedTime = 600;
/** Milliseconds without a round from which a box has stood still: some three rounds. */
const stallTime = 1000;
/** Milliseconds after that in which what has waited is read: some datagrams a turn. */
const backlogTime = 150;
/** Entries of one datagram: some 80 bytes each with their levels, with the sender's record below the largest datagram. */
const mostEntries = 50;

/** Creates the quotas of a box; nothing is leased yet. */
export function createCustomerQuotas(options: CustomerQuotasOptions): CustomerQuotas {
    const { clock, coordinators: countingBoxes, membership, self } = options;
    const shares = new Map<CustomerId, QuotaShare>();
    const counters = new Map<CustomerId, QuotaAllocator>();
    const answers = createCoordinatorLiveness();
    let isReportPlanned = false;
    let lastRoundAt = clock();
    let deafUntil = -Infinity;

    return {
        consume(customer) {
            const quota = quotaOf(customer);
            if (quota === undefined) {
                return undefined;
            }
            noticeStall();
            const share = shareOf(customer.id);
            const startingFor = isSettled() ? undefined : options.uptime();
            const denied = share.consume({ quota, boxCount: boxCount(), startingFor, at: clock() });
            if (share.needsLease(clock())) {
                reportSoon();
            }
            return denied;
        },
        refund(customer) {
            if (customer.quota !== undefined) {
                shareOf(customer.id).refund();
            }
        },
        onGossipRound() {
            noticeStall();
            lastRoundAt = clock();
            const named = options.advertised().map(({ box }) => box);
            countingBoxes.update({ named, aliveCount: membership.alive(clock()).length }, clock());
            forgetLostCustomers();
            report([...shares.values()]);
        },
        onMessage(from, message) {
            noticeStall();
            if (clock() < deafUntil) {
                return;
            }
            const leases = decodeReports(message).map(told => count(from.box, told));
            sendInParts(from, leases.filter(lease => lease !== undefined), encodeLeases);
            if (message.leases !== undefined) {
                answers.onLeasesReceived(from.box);
                decodeLeases(message).forEach(lease => onLease(from.box, lease));
            }
        },
        counts: () =>
            [...shares].map(([customer, share]) => ({
                customer,
                rate: options.findCustomer(customer)?.quota?.rate ?? 0,
                ...share.counts(),
            })),
    };

    /**
     * What waited for a box that stood still is old: the other box that counts has charged it, and here it would be charged all at once, to a
     * level that has earned nothing meanwhile. Nor has the box used its own leases. Calm customers were refused for either.
     */
    function noticeStall(): void {
        const stoodStill = clock() - lastRoundAt;
        if (stoodStill <= stallTime) {
            return;
        }
        lastRoundAt = clock();
        deafUntil = clock() + backlogTime;
        shares.forEach(share => share.onProcessPause(milliseconds(stoodStill)));
    }

    /** Requests that come in one turn share the datagrams. */
    function reportSoon(): void {
        if (isReportPlanned) {
            return;
        }
        isReportPlanned = true;
        setImmediate(() => {
            isReportPlanned = false;
            report([...shares.values()].filter(share => share.needsLease(clock())));
        });
    }

    function report(reporting: readonly QuotaShare[]): void {
        const byCounter = new Map<BoxId, QuotaReport[]>();
        const candidates = answers.responsive(countingBoxes.current(), clock());
        if (candidates.length === 0) {
            return;
        }
        for (const share of reporting) {
            const due = share.dueReport(clock());
            if (due === undefined) {
                continue;
            }
            for (const counter of countersFor(due.customer, candidates)) {
                byCounter.set(counter, [...byCounter.get(counter) ?? [], due]);
            }
        }
        for (const [box, reports] of byCounter) {
            deliver(box, reports);
        }
    }

    /** Both boxes that count hear each report, a silent one too: it knows what was let in once it goes on. A third counts while both are silent. */
    function countersFor(customer: CustomerId, candidates: readonly BoxId[]): ReadonlySet<BoxId> {
        const pair = coordinatorPairFor(customer, countingBoxes.current());
        const used = coordinatorFor(customer, candidates);
        return new Set(used === undefined ? pair : [...pair, used]);
    }

    function deliver(box: BoxId, reports: readonly QuotaReport[]): void {
        if (box === self) {
            reports.map(own => count(self, own)).forEach(lease => lease !== undefined && onLease(self, lease));
            return;
        }
        const member = membership.find(box);
        if (member !== undefined) {
            answers.onReportSent(box, clock());
            sendInParts(member, reports, encodeReports);
        }
    }

    function sendInParts<Part>(
        box: MemberRecord,
        parts: readonly Part[],
        messageOf: (parts: readonly Part[]) => QuotaMessage,
    ): void {
        for (let from = 0; from < parts.length; from += mostEntries) {
            options.send(box, messageOf(parts.slice(from, from + mostEntries)));
        }
    }

    function count(box: BoxId, told: QuotaReport): QuotaLease | undefined {
        const customer = options.findCustomer(told.customer);
        const quota = customer && quotaOf(customer);
        if (quota === undefined || !isSettled()) {
            return undefined;
        }
        const counter = counterOf(told.customer, quota);
        const lease = counter.onReport(box, told, { quota, boxCount: boxCount(), at: clock() });
        return counter.withholdsLease(box, told, clock()) ? undefined : lease;
    }

    /** A counter that nobody reported to for a while starts anew: what was admitted meanwhile was told to another box. */
    function counterOf(customer: CustomerId, quota: CustomerQuota): QuotaAllocator {
        const known = counters.get(customer);
        if (known !== undefined && !known.isStale(clock(), countingBoxes.unchangedFor(clock()))) {
            return known;
        }
        const counter = createQuotaAllocator(clock(), known === undefined ? earnedUnused(quota) : 0);
        counters.set(customer, counter);
        return counter;
    }

    /** What a customer has earned that nobody has asked for since the same boxes count. */
    function earnedUnused(quota: CustomerQuota): number {
        return Math.min(quota.burst, quota.rate * countingBoxes.unchangedFor(clock()) / 1000);
    }

    /** Of the two that count the first one's leases are used, and the other's for a report that the first has not answered. */
    function onLease(from: BoxId, lease: QuotaLease): void {
        const used = coordinatorFor(lease.customer, answers.responsive(countingBoxes.current(), clock()));
        const share = shares.get(lease.customer);
        if (used === from || share?.isReportPending() === true) {
            share?.onLease(lease, clock());
        }
    }

    function shareOf(customer: CustomerId): QuotaShare {
        let share = shares.get(customer);
        if (share === undefined) {
            share = createQuotaShare(customer, clock());
            shares.set(customer, share);
        }
        return share;
    }

    function quotaOf({ quota }: Customer): CustomerQuota | undefined {
        return quota && effectiveQuota(quota, options.tolerance);
    }

    /** True once this box may count: boxes that have just started may know different others. */
    function isSettled(): boolean {
        return options.uptime() >= settleTime || countingBoxes.unchangedFor(clock()) >= unchangedTime;
    }

    /** Boxes that may admit requests. A box that has just started counts those that will be named once they are ready. */
    function boxCount(): number {
        if (options.uptime() < settleTime) {
            return Math.max(1, advertisedBoxes([membership.ownRecord(), ...membership.recentMembers(clock())]).length);
        }
        return countingBoxes.boxCount();
    }

    function forgetLostCustomers(): void {
        for (const customer of [...shares.keys(), ...counters.keys()]) {
            if (options.findCustomer(customer)?.quota === undefined) {
                shares.delete(customer);
                counters.delete(customer);
            }
        }
    }
}
