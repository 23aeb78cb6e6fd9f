/**
 * The level of one customer's quota: a token bucket of all boxes together, charged
 * with what they tell, and with what silent ones may use.
 *
 * It may go below zero, since boxes admit first and report later. A box that begins to
 * count starts with the level that boxes were told last, or an almost empty bucket: a
 * start grants no new burst.
 *
 * Owns the level; relies on the counter for who is silent.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { CustomerQuota } from "../../shared-state/configuration.js";
import type { QuotaReport } from "./quota-messages.js";

/** What a silent box may use. */
export interface PresumedUse {
    /** Rate of its last lease, in requests a second. */
    leasedRate: number;
    /** What it is taken to have let in since it fell silent, in requests. */
    presumed: number;
}

/** The level, in requests. */
export interface QuotaLevel {
    readonly current: () => number;
    /**
     * Time goes on. A silent box may go on by its last lease, which nobody tells until it is back. Without that in the level, what it
     * uses would be given out again.
     */
    readonly advance: (quota: CustomerQuota, at: Milliseconds, silent: readonly PresumedUse[]) => void;
    /**
     * A report tells what the box that counted before knew, and what nobody has counted since. Without that, what was let in
     * too much would be forgotten whenever the box that counts is lost.
     *
     * @param isFirst the box has not reported to this one before.
     */
    readonly reconcile: (report: QuotaReport, quota: CustomerQuota, at: Milliseconds, isFirst: boolean) => void;
    /** A box has told what it let in, which takes the place of what was presumed. */
    readonly charge: (admitted: number, use: PresumedUse | undefined) => void;
}

/**
 * Milliseconds in which a box that begins to count hears of all others: two rounds of reports and the way. Until then its leases stay
 * within the rate.
 */
export const coordinatorSettleTime = 700;
/** Requests in the bucket of a box that begins to count: what deployments tolerate besides, so that small customers need not wait. */
const firstLevel = 10;

/** Creates the level of a box that begins to count; `earned` as for the counter. */
export function createQuotaLevel(startedAt: Milliseconds, earned: number): QuotaLevel {
    let level = firstLevel + earned;
    let advancedAt = startedAt;
    /** When reports came again after a pause. */
    let resumedAt = -Infinity;
    /** True once a box has told the level that another one knew which counted before. */
    let knowsLevel = false;

    return {
        current: () => level,
        advance(quota, at, silent) {
            const passed = Math.max(0, at - advancedAt);
            level = Math.min(quota.burst, level + quota.rate * passed / 1000);
            for (const use of silent) {
                const presumed = use.leasedRate * passed / 1000;
                use.presumed += presumed;
                level -= presumed;
            }
            resumedAt = passed > coordinatorSettleTime ? at : resumedAt;
            advancedAt = at;
        },
        reconcile({ lastLevel, unacknowledged: unanswered = 0 }, quota, at, isFirst) {
            const told = lastLevel && Math.min(quota.burst, lastLevel.level + quota.rate * lastLevel.age / 1000);
            if (isFirst && at - startedAt < coordinatorSettleTime) {
                level += told === undefined || knowsLevel ? 0 : told - firstLevel;
                knowsLevel ||= told !== undefined;
                level -= unanswered;
            }
            // Another box may have counted while this one stood still.
            if (told !== undefined && at - resumedAt < coordinatorSettleTime) {
                level = Math.min(level, told);
            }
        },
        charge(admitted, use) {
            level += (use?.presumed ?? 0) - admitted;
            if (use !== undefined) {
                use.presumed = 0;
            }
        },
    };
}
