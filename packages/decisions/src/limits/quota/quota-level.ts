/**
 * The level of one customer's quota: a token bucket over all boxes, charged with the requests that boxes report and
 * with those that silent boxes may be admitting.
 *
 * The level may go below zero, since boxes admit first and report later. A new coordinator starts with the level that
 * boxes last received from the previous one, or with an almost empty bucket, so a restart grants no new burst.
 *
 * Owns the level; relies on the allocator to say which boxes are silent.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { CustomerQuota } from "../../shared-state/configuration.js";
import type { QuotaReport } from "./quota-messages.js";

/** What a silent box may be using. */
export interface PresumedUse {
    /** Rate of its last lease, in requests a second. */
    leasedRate: number;
    /** Requests that it is presumed to have admitted since its last report. */
    presumed: number;
}

/** The level, in requests. */
export interface QuotaLevel {
    readonly current: () => number;
    /**
     * Refills the bucket up to the given time. Silent boxes may go on using their last leases and report it only once
     * they are reachable again, so that use is charged here; otherwise it would be allocated a second time.
     */
    readonly advance: (quota: CustomerQuota, at: Milliseconds, silent: readonly PresumedUse[]) => void;
    /**
     * Merges the level that a report carries from the previous coordinator, and the requests that no coordinator has
     * acknowledged. Without this, requests admitted beyond the quota would be forgotten whenever a coordinator is lost.
     *
     * @param isFirst this is the box's first report to this coordinator.
     */
    readonly reconcile: (report: QuotaReport, quota: CustomerQuota, at: Milliseconds, isFirst: boolean) => void;
    /** Charges the requests that a box reports as admitted, in place of those presumed for it. */
    readonly charge: (admitted: number, use: PresumedUse | undefined) => void;
}

/**
 * Milliseconds in which a new coordinator receives reports from all boxes: two rounds of reports and their delay. Until
 * then its leases add up to no more than the rate.
 */
export const coordinatorSettleTime = 700;
/**
 * Requests in a new coordinator's bucket. Deployments tolerate that many beyond the quota, and small customers need not
 * wait.
 */
const initialLevel = 10;

/** Creates the level of a new coordinator; `earned` as for `createQuotaAllocator`. */
export function createQuotaLevel(startedAt: Milliseconds, earned: number): QuotaLevel {
    let level = initialLevel + earned;
    let advancedAt = startedAt;
    /** Time of the first report after a pause. */
    let resumedAt = -Infinity;
    /** True once a box has reported the level of the previous coordinator. */
    let hasPreviousLevel = false;

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
        reconcile({ lastLevel, unacknowledged = 0 }, quota, at, isFirst) {
            const reported = lastLevel && Math.min(quota.burst, lastLevel.level + quota.rate * lastLevel.age / 1000);
            if (isFirst && at - startedAt < coordinatorSettleTime) {
                level += reported === undefined || hasPreviousLevel ? 0 : reported - initialLevel;
                hasPreviousLevel ||= reported !== undefined;
                level -= unacknowledged;
            }
            // Another coordinator may have taken over while this process was paused.
            if (reported !== undefined && at - resumedAt < coordinatorSettleTime) {
                level = Math.min(level, reported);
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
