/**
 * Enforces customers' quotas on one box: admits requests by this box's shares,
 * reports demand to the quota coordinators, and is a coordinator itself for some
 * customers.
 *
 * Owns the shares and the allocators; all of it may be lost with the process.
 * Relies on membership to select the coordinators, and on the link between boxes
 * for messages, any of which may be lost.
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
    /** Selects the quota coordinators; updated in each gossip round. */
    readonly coordinators: CoordinatorSet;
    /** Boxes that are advertised to callers. */
    readonly advertised: () => readonly MemberRecord[];
    readonly tolerance: QuotaTolerance;
    readonly findCustomer: (id: CustomerId) => Customer | undefined;
    readonly send: (box: MemberRecord, message: QuotaMessage) => void;
    /** Time since this box started. */
    readonly uptime: () => Milliseconds;
}

/** Request counts of one customer on this box. */
export interface CustomerCounts {
    readonly customer: CustomerId;
    /** The customer's quota for all boxes together, in requests a second; 0 once it has none. */
    readonly rate: number;
    readonly admitted: number;
    readonly refused: number;
}

/** The quotas on one box. */
export interface CustomerQuotas {
    /** Charges a request to the customer's quota; undefined if it is admitted. */
    readonly consume: (customer: Customer) => QuotaDenial | undefined;
    /**
     * Charges a request that was just denied in advance, if its customer's share admits it within `maxWait`; true if it
     * may run once the denial's `retryAfter` has passed.
     */
    readonly reserve: (customer: Customer, denial: QuotaDenial, maxWait: Milliseconds) => boolean;
    /** Refunds an admitted request that was not run by any server. */
    readonly refund: (customer: Customer) => void;
    /** Selects the coordinators again and sends the reports that are due. Called in each gossip round. */
    readonly onGossipRound: () => void;
    /** Handles reports and leases from another box. */
    readonly onMessage: (from: MemberRecord, message: QuotaMessage) => void;
    /** Counts of all customers for which this box has a share. */
    readonly counts: () => readonly CustomerCounts[];
}

/**
 * Milliseconds after its start during which a box that knows no other box does not coordinate: it may not have heard of
 * the others yet and would act as the only one. Five gossip rounds.
 */
const settleTime = 1500;
/**
 * Milliseconds without a change after which a starting box assumes that other boxes select the same coordinators: two
 * gossip rounds. Until some box coordinates, all shares are equal, whichever boxes the callers use.
 */
const unchangedTime = 600;
/** Milliseconds since the last gossip round above which the process must have been paused: about three rounds. */
const processPauseThreshold = 1000;
/** Milliseconds after a process pause in which messages are ignored: each turn reads only a few of the queued ones. */
const backlogTime = 150;
/**
 * Maximum entries of a datagram: about 80 bytes each with their levels; with the sender's record they fit the largest
 * datagram.
 */
const maxEntries = 50;

/** Creates the quotas of a box; nothing is leased yet. */
export function createCustomerQuotas(options: CustomerQuotasOptions): CustomerQuotas {
    const { clock, coordinators, membership, self } = options;
    const shares = new Map<CustomerId, QuotaShare>();
    const allocators = new Map<CustomerId, QuotaAllocator>();
    const liveness = createCoordinatorLiveness();
    let isReportScheduled = false;
    let lastRoundAt = clock();
    let ignoresMessagesUntil = -Infinity;

    return {
        consume(customer) {
            const quota = quotaOf(customer);
            if (quota === undefined) {
                return undefined;
            }
            detectProcessPause();
            const share = shareOf(customer.id);
            const startingFor = isSettled() ? undefined : options.uptime();
            const denial = share.consume({ quota, boxCount: boxCount(), startingFor, at: clock() });
            if (share.needsLease(clock())) {
                scheduleReport();
            }
            return denial;
        },
        reserve: (customer, denial, maxWait) => shareOf(customer.id).reserve(denial, maxWait, clock()),
        refund(customer) {
            if (customer.quota !== undefined) {
                shareOf(customer.id).refund();
            }
        },
        onGossipRound() {
            detectProcessPause();
            lastRoundAt = clock();
            const advertisedIds = options.advertised().map(({ box }) => box);
            coordinators.update({ advertised: advertisedIds, aliveCount: membership.alive(clock()).length }, clock());
            forgetCustomersWithoutQuota();
            sendReports([...shares.values()]);
        },
        onMessage(from, message) {
            detectProcessPause();
            if (clock() < ignoresMessagesUntil) {
                return;
            }
            const leases = decodeReports(message).map(report => allocate(from.box, report));
            sendInBatches(from, leases.filter(lease => lease !== undefined), encodeLeases);
            if (message.leases !== undefined) {
                liveness.onLeasesReceived(from.box);
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
     * Detects a process pause. Reports that were queued meanwhile are outdated: the other coordinator has charged them
     * already, and here they would all be charged at once to a level that earned nothing during the pause. They are
     * ignored. The box did not use its own leases during the pause either, so the pause is not counted in their age.
     */
    function detectProcessPause(): void {
        const pause = clock() - lastRoundAt;
        if (pause <= processPauseThreshold) {
            return;
        }
        lastRoundAt = clock();
        ignoresMessagesUntil = clock() + backlogTime;
        shares.forEach(share => share.onProcessPause(milliseconds(pause)));
    }

    /** Reports at the end of the turn, so requests that arrive in one turn share datagrams. */
    function scheduleReport(): void {
        if (isReportScheduled) {
            return;
        }
        isReportScheduled = true;
        setImmediate(() => {
            isReportScheduled = false;
            sendReports([...shares.values()].filter(share => share.needsLease(clock())));
        });
    }

    function sendReports(reporting: readonly QuotaShare[]): void {
        const byCoordinator = new Map<BoxId, QuotaReport[]>();
        const responsive = liveness.responsive(coordinators.current(), clock());
        if (responsive.length === 0) {
            return;
        }
        for (const share of reporting) {
            const dueReport = share.dueReport(clock());
            if (dueReport === undefined) {
                continue;
            }
            for (const coordinator of coordinatorsFor(dueReport.customer, responsive)) {
                byCoordinator.set(coordinator, [...byCoordinator.get(coordinator) ?? [], dueReport]);
            }
        }
        for (const [box, reports] of byCoordinator) {
            deliver(box, reports);
        }
    }

    /**
     * Returns the boxes that get a report: both coordinators, also one that does not answer, as it must know what was
     * admitted once it resumes. While neither answers, a third box coordinates.
     */
    function coordinatorsFor(customer: CustomerId, responsive: readonly BoxId[]): ReadonlySet<BoxId> {
        const pair = coordinatorPairFor(customer, coordinators.current());
        const preferred = coordinatorFor(customer, responsive);
        return new Set(preferred === undefined ? pair : [...pair, preferred]);
    }

    function deliver(box: BoxId, reports: readonly QuotaReport[]): void {
        if (box === self) {
            reports.map(ownReport => allocate(self, ownReport)).forEach(lease =>
                lease !== undefined && onLease(self, lease)
            );
            return;
        }
        const member = membership.find(box);
        if (member !== undefined) {
            liveness.onReportSent(box, clock());
            sendInBatches(member, reports, encodeReports);
        }
    }

    function sendInBatches<Entry>(
        box: MemberRecord,
        entries: readonly Entry[],
        encode: (entries: readonly Entry[]) => QuotaMessage,
    ): void {
        for (let start = 0; start < entries.length; start += maxEntries) {
            options.send(box, encode(entries.slice(start, start + maxEntries)));
        }
    }

    /**
     * Answers a report with a lease; undefined if the customer has no quota, if this box may not coordinate yet, or if
     * the reporting box should keep a lease of another coordinator.
     */
    function allocate(box: BoxId, report: QuotaReport): QuotaLease | undefined {
        const customer = options.findCustomer(report.customer);
        const quota = customer && quotaOf(customer);
        if (quota === undefined || !isSettled()) {
            return undefined;
        }
        const allocator = allocatorFor(report.customer, quota);
        const lease = allocator.onReport(box, report, { quota, boxCount: boxCount(), at: clock() });
        return allocator.withholdsLease(box, report, clock()) ? undefined : lease;
    }

    /**
     * Replaces an allocator that got no report for a while: what was admitted meanwhile was reported to another box.
     */
    function allocatorFor(customer: CustomerId, quota: CustomerQuota): QuotaAllocator {
        const known = allocators.get(customer);
        if (known !== undefined && !known.isStale(clock(), coordinators.unchangedFor(clock()))) {
            return known;
        }
        const allocator = createQuotaAllocator(clock(), known === undefined ? earnedUnused(quota) : 0);
        allocators.set(customer, allocator);
        return allocator;
    }

    /** Returns the requests that a customer without any report has earned since the coordinators last changed. */
    function earnedUnused(quota: CustomerQuota): number {
        return Math.min(quota.burst, quota.rate * coordinators.unchangedFor(clock()) / 1000);
    }

    /**
     * Applies leases of the preferred coordinator, and those of another one only while the last report has no lease
     * yet.
     */
    function onLease(from: BoxId, lease: QuotaLease): void {
        const preferred = coordinatorFor(lease.customer, liveness.responsive(coordinators.current(), clock()));
        const share = shares.get(lease.customer);
        if (preferred === from || share?.isReportPending() === true) {
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

    /** True once this box may coordinate. Right after a start, boxes may know different members. */
    function isSettled(): boolean {
        return options.uptime() >= settleTime || coordinators.unchangedFor(clock()) >= unchangedTime;
    }

    /**
     * Number of boxes that may admit requests. A box that has just started counts those that will be advertised once
     * they are ready.
     */
    function boxCount(): number {
        if (options.uptime() < settleTime) {
            return Math.max(1, advertisedBoxes([membership.ownRecord(), ...membership.recentMembers(clock())]).length);
        }
        return coordinators.boxCount();
    }

    function forgetCustomersWithoutQuota(): void {
        for (const customer of [...shares.keys(), ...allocators.keys()]) {
            if (options.findCustomer(customer)?.quota === undefined) {
                shares.delete(customer);
                allocators.delete(customer);
            }
        }
    }
}
