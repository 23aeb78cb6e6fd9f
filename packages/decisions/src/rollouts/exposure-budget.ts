/**
 * What the version on trial may get from all boxes together: a sum of caps that
 * never exceeds what the bound allows for the requests reported so far.
 *
 * The bound is part of all requests between the order and its end and an
 * allowance, so what is allowed grows with the requests and is never taken back.
 * A box's cap only rises; what a lost box did not use stays given out.
 *
 * A new account takes the greatest sum that any box heard of as given out. Where
 * the store says that a trial ran and no box knows a sum, all boxes lost their
 * memory: the past counts as spent, the allowance with it, and only new requests add to the account.
 *
 * Owns the caps and the counts by box; relies on reports whose counts only rise.
 */

import type { BoxId, IncarnationId } from "@chalkdale/kernel";
import type { RolloutReport } from "./rollout-messages.js";
import type { RolloutBounds } from "./rollout-order.js";

/** The account of one order. */
export interface ExposureBudget {
    /** Takes what a box counted; a repeat changes nothing. */
    readonly onReport: (box: BoxId, report: RolloutReport) => void;
    /** Raises a box's cap as far as the account holds, and returns the cap. */
    readonly raiseCap: (box: BoxId, incarnation: IncarnationId, wanted: number) => number;
    readonly capOf: (box: BoxId, incarnation: IncarnationId) => number;
    /** Sum of all caps that were ever granted. */
    readonly grantedTotal: () => number;
    /** What the sum of the caps may be now. */
    readonly allowed: () => number;
    /** Requests that all boxes sent since the order. */
    readonly sent: () => number;
    /** Of these, to the version on trial. */
    readonly sentToTrial: () => number;
    /** The trial ran, and no box knows its sum. */
    readonly onGrantHistoryLost: () => void;
}

/**
 * Part of the bound that is used: the rule counts what reaches servers, and a request that a box sent may be lost on its way.
 */
export const exposureSafetyFactor = 0.9;

interface BoxCounts {
    sent: number;
    sentToTrial: number;
    cap: number;
}

/** Creates the account of an order that no box has reported on. */
export function createExposureBudget(bounds: RolloutBounds): ExposureBudget {
    const counts = new Map<string, BoxCounts>();
    let capSum = 0;
    let total = 0;
    let sent = 0;
    let sentToTrial = 0;
    let isMemoryLost = false;

    return {
        onReport(box, report) {
            const known = countsOf(box, report.incarnation);
            sent += rise(known, "sent", report.sent);
            sentToTrial += rise(known, "sentToTrial", report.sentToTrial);
            // A cap that another decider granted is within the sum that it told with it.
            capSum += rise(known, "cap", report.cap);
            total = Math.max(total, report.knownGrantedTotal ?? 0, capSum);
        },
        raiseCap(box, incarnation, wanted) {
            const known = countsOf(box, incarnation);
            const left = Math.max(0, Math.floor(allowed() - total));
            const added = Math.min(left, Math.max(0, Math.floor(wanted) - known.cap));
            known.cap += added;
            capSum += added;
            total += added;
            return known.cap;
        },
        capOf: (box, incarnation) => countsOf(box, incarnation).cap,
        grantedTotal: () => total,
        allowed,
        sent: () => sent,
        sentToTrial: () => sentToTrial,
        onGrantHistoryLost() {
            isMemoryLost = true;
        },
    };

    function allowed(): number {
        const allowance = isMemoryLost ? 0 : bounds.exposedAllowance;
        return exposureSafetyFactor * (bounds.exposedShare * sent + allowance);
    }

    function countsOf(box: BoxId, incarnation: IncarnationId): BoxCounts {
        const name = `${box} ${incarnation}`;
        const known = counts.get(name) ?? { sent: 0, sentToTrial: 0, cap: 0 };
        counts.set(name, known);
        return known;
    }
}

/** Raises a count that never goes back, and returns by how much. */
function rise(counts: BoxCounts, name: keyof BoxCounts, told: number): number {
    const added = Math.max(0, told - counts[name]);
    counts[name] += added;
    return added;
}
