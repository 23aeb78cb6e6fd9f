/**
 * The exposure budget of a roll-out: how many requests all boxes together may send to
 * the trial version. Each box is granted a cap, and the sum of the caps never exceeds
 * what the bound allows for the requests that were reported so far.
 *
 * The bound is a share of all requests between the order and its end, plus a fixed
 * allowance. The allowed total therefore only grows, and a cap is never lowered; the
 * unused part of a lost box's cap stays granted.
 *
 * A deciding box that takes over starts from the greatest granted total that any box
 * knows. If the store says that the trial ran but no box knows a total, all boxes have
 * lost it: the past requests and the allowance then count as spent, and only new
 * requests add to the budget.
 *
 * Owns the caps and counts of each box. Relies on reports with cumulative counts.
 */

import type { BoxId, IncarnationId } from "@chalkdale/kernel";
import type { RolloutReport } from "./rollout-messages.js";
import type { RolloutBounds } from "./rollout-order.js";

/** The exposure budget of one order. */
export interface ExposureBudget {
    /** Adds the counts of a box; a repeated report changes nothing. */
    readonly onReport: (box: BoxId, report: RolloutReport) => void;
    /** Raises a box's cap to `wanted` requests, or as far as the budget allows, and returns the cap. */
    readonly raiseCap: (box: BoxId, incarnation: IncarnationId, wanted: number) => number;
    readonly capOf: (box: BoxId, incarnation: IncarnationId) => number;
    /** Sum of all caps that were ever granted. */
    readonly grantedTotal: () => number;
    /** Current upper bound of the sum of all caps. */
    readonly allowed: () => number;
    /** Requests of the service that all boxes have sent since the order. */
    readonly sent: () => number;
    /** Of these, requests to the trial version. */
    readonly sentToTrial: () => number;
    /** Call this if the trial ran before but no box knows its granted total. */
    readonly onGrantHistoryLost: () => void;
}

/**
 * Fraction of the bound that is granted. The bound counts requests that reach servers, and some requests that a
 * box sent are lost on the way.
 */
export const exposureSafetyFactor = 0.9;

interface BoxCounts {
    sent: number;
    sentToTrial: number;
    cap: number;
}

/** Creates the budget of an order that no box has reported on. */
export function createExposureBudget(bounds: RolloutBounds): ExposureBudget {
    const counts = new Map<string, BoxCounts>();
    let capSum = 0;
    let grantedTotal = 0;
    let sent = 0;
    let sentToTrial = 0;
    let isGrantHistoryLost = false;

    return {
        onReport(box, report) {
            const known = countsOf(box, report.incarnation);
            sent += raiseCount(known, "sent", report.sent);
            sentToTrial += raiseCount(known, "sentToTrial", report.sentToTrial);
            // The granted total that came with a cap from another deciding box includes that cap.
            capSum += raiseCount(known, "cap", report.cap);
            grantedTotal = Math.max(grantedTotal, report.knownGrantedTotal ?? 0, capSum);
        },
        raiseCap(box, incarnation, wanted) {
            const known = countsOf(box, incarnation);
            const remaining = Math.max(0, Math.floor(allowed() - grantedTotal));
            const added = Math.min(remaining, Math.max(0, Math.floor(wanted) - known.cap));
            known.cap += added;
            capSum += added;
            grantedTotal += added;
            return known.cap;
        },
        capOf: (box, incarnation) => countsOf(box, incarnation).cap,
        grantedTotal: () => grantedTotal,
        allowed,
        sent: () => sent,
        sentToTrial: () => sentToTrial,
        onGrantHistoryLost() {
            isGrantHistoryLost = true;
        },
    };

    function allowed(): number {
        const allowance = isGrantHistoryLost ? 0 : bounds.exposedAllowance;
        return exposureSafetyFactor * (bounds.exposedShare * sent + allowance);
    }

    function countsOf(box: BoxId, incarnation: IncarnationId): BoxCounts {
        const key = `${box} ${incarnation}`;
        const known = counts.get(key) ?? { sent: 0, sentToTrial: 0, cap: 0 };
        counts.set(key, known);
        return known;
    }
}

/** Raises a count to the reported value and returns the increase; a lower value changes nothing. */
function raiseCount(counts: BoxCounts, field: keyof BoxCounts, reported: number): number {
    const added = Math.max(0, reported - counts[field]);
    counts[field] += added;
    return added;
}
