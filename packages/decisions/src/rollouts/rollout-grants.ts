/**
 * Divides the exposure budget of an order among the boxes, in proportion to the requests
 * that each has sent. While the version is watched the budget is spent evenly over time;
 * the move gets all that remains.
 *
 * Fractions of a request are rounded by a hash of the box id. Of many boxes with little
 * traffic some get one request and others none, and the sum comes out right.
 *
 * Owns the initial cap of each box and the start of the watch. Relies on the budget to
 * grant no more than it holds.
 */

import { type BoxId, hashText, type Milliseconds } from "@chalkdale/kernel";
import type { ExposureBudget } from "./exposure-budget.js";
import type { RolloutGrant, RolloutReport, RolloutStage } from "./rollout-messages.js";
import type { RolloutId } from "./rollout-order.js";
import type { RolloutPlan } from "./rollout-plan.js";

/** Makes the grants of one order. */
export interface RolloutGrants {
    /** Raises a box's cap to its share of the plan, and returns its grant. */
    readonly grantTo: (box: BoxId, report: RolloutReport, context: GrantContext) => RolloutGrant;
}

/** Inputs of a grant besides the report. */
interface GrantContext {
    readonly stage: RolloutStage;
    readonly age: Milliseconds;
    readonly plan: RolloutPlan;
    /** Requests per second of all boxes. */
    readonly rate: number;
    /** Requests that were left in the budget before this round of grants. */
    readonly remaining: number;
    /** False while nothing may be granted. */
    readonly isOpen: boolean;
}

export interface RolloutGrantsOptions {
    readonly rollout: RolloutId;
    readonly budget: ExposureBudget;
    /** Number of listed servers of the target version. */
    readonly serverCount: () => number;
}

/** Milliseconds by which caps run ahead of the plan: two reporting rounds. */
const capLeadTime = 700;
/** Factor on the planned share that boxes pace themselves by, so that the cap is the binding limit. */
const shareLeadFactor = 1.5;
/** Maximum share of the requests that try the target while it is watched. */
const maxWatchShare = 0.5;
/** Share of the requests that try the target before the rate is known. */
const initialShare = 0.1;
/** Minimum number of sampled servers while the sample is spread: one for each group. */
const minSpreadServers = 8;
/**
 * Minimum number of sampled servers while the sample is concentrated: two servers of a good version might fail
 * at once.
 */
const minConcentratedServers = 3;
/** Sample size that includes all servers of the target. */
const allServers = 1_000_000;
/** One second in milliseconds; rates are in requests per second. */
const second = 1000;
/** Number of values of a 32-bit hash. */
const hashRange = 4294967296;

/** State of the order when the first grant of the watch was made. */
interface WatchStart {
    readonly age: Milliseconds;
    readonly grantedTotal: number;
}

/** Creates the grants of an order over its exposure budget. */
export function createRolloutGrants({ budget, rollout, serverCount }: RolloutGrantsOptions): RolloutGrants {
    const initialCaps = new Map<string, number>();
    let watchStart: WatchStart | undefined;

    return {
        grantTo(box, report, context) {
            const { age, isOpen, stage } = context;
            if (isOpen) {
                raiseCap(box, report, context);
            }
            const share = isOpen ? shareOf(context) : 0;
            return {
                rollout,
                stage,
                cap: budget.capOf(box, report.incarnation),
                share,
                sampledServerCount: sampleSize(share, context),
                grantedTotal: budget.grantedTotal(),
                age,
            };
        },
    };

    function raiseCap(box: BoxId, report: RolloutReport, context: GrantContext): void {
        const { incarnation, sent } = report;
        const cap = budget.capOf(box, incarnation);
        const fraction = sent / Math.max(1, budget.sent());
        if (context.stage === "moving") {
            budget.raiseCap(box, incarnation, cap + Math.floor(context.remaining * fraction + roundingOffset(box)));
            return;
        }
        const key = `${box} ${incarnation}`;
        const initialCap = initialCaps.get(key) ?? cap;
        initialCaps.set(key, initialCap);
        budget.raiseCap(
            box,
            incarnation,
            initialCap + Math.floor(fraction * plannedRequests(context) + roundingOffset(box)),
        );
    }

    /** Requests that all boxes together should have been granted by now, since the watch began. */
    function plannedRequests({ age, plan }: GrantContext): number {
        const start = watchStart ??= { age, grantedTotal: budget.grantedTotal() };
        const due = age + capLeadTime;
        const plannedSinceStart = due < plan.concentrateAt
            ? progressBetween(due, start.age, plan.concentrateAt)
                * (plan.requestsBeforeConcentration - start.grantedTotal)
            : plan.requestsBeforeConcentration - start.grantedTotal
                + progressBetween(due, plan.concentrateAt, plan.samplingEndsAt)
                    * (plan.requestsBeforeMove - plan.requestsBeforeConcentration);
        return Math.max(0, plannedSinceStart);
    }

    function shareOf({ age, plan, rate, stage }: GrantContext): number {
        if (stage === "moving") {
            return 1;
        }
        const start = watchStart ?? { age: 0, grantedTotal: 0 };
        const [watchTime, planned] = isConcentrating(age, plan)
            ? [plan.samplingEndsAt - plan.concentrateAt, plan.requestsBeforeMove - plan.requestsBeforeConcentration]
            : [plan.concentrateAt - start.age, plan.requestsBeforeConcentration - start.grantedTotal];
        const requests = rate * Math.max(0, watchTime) / second;
        return requests <= 0
            ? initialShare
            : Math.min(maxWatchShare, shareLeadFactor * Math.max(0, planned) / requests);
    }

    /**
     * Returns the number of servers that the share loads as heavily as full operation would, since some versions fail
     * only under load; at least the minimum.
     */
    function sampleSize(share: number, { age, plan, stage }: GrantContext): number {
        if (stage === "moving") {
            return allServers;
        }
        const serversForLoad = Math.floor(share / shareLeadFactor * serverCount());
        return Math.max(isConcentrating(age, plan) ? minConcentratedServers : minSpreadServers, serversForLoad);
    }
}

/** True once the sample is concentrated on few servers. Boxes learn of it one reporting round later. */
function isConcentrating(age: Milliseconds, plan: RolloutPlan): boolean {
    return age >= plan.concentrateAt;
}

/** Returns how far `at` is between two times, clamped to 0 to 1. */
function progressBetween(at: number, from: number, to: number): number {
    return Math.min(1, Math.max(0, (at - from) / Math.max(1, to - from)));
}

function roundingOffset(box: BoxId): number {
    return hashText(box) / hashRange;
}
