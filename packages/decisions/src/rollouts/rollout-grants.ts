/**
 * How the account of an order is divided among boxes: in proportion to what each
 * sent, evenly over the time that is watched, and all that is left for the move.
 *
 * Parts of a request are rounded by a hash of the box, so that of many boxes with
 * little traffic some get one and others none, and the sum is right.
 *
 * Owns the caps at the beginning; relies on the account to grant no more than it holds.
 */

import { type BoxId, hashText, type Milliseconds } from "@chalkdale/kernel";
import type { ExposureBudget } from "./exposure-budget.js";
import type { RolloutGrant, RolloutReport, RolloutStage } from "./rollout-messages.js";
import type { RolloutId } from "./rollout-order.js";
import type { RolloutPlan } from "./rollout-plan.js";

/** Grants of one order. */
export interface RolloutGrants {
    /** Raises a box's cap to what it is due, and returns its grant. */
    readonly grantTo: (box: BoxId, report: RolloutReport, context: GrantContext) => RolloutGrant;
}

/** What a grant goes by, besides the report. */
interface GrantContext {
    readonly stage: RolloutStage;
    readonly age: Milliseconds;
    readonly plan: RolloutPlan;
    /** Requests a second of all boxes. */
    readonly rate: number;
    /** What the account held before it was divided for this round of grants. */
    readonly left: number;
    /** False while nothing may be granted. */
    readonly isOpen: boolean;
}

export interface RolloutGrantsOptions {
    readonly rollout: RolloutId;
    readonly budget: ExposureBudget;
    /** Servers of the target that are listed now. */
    readonly serverCount: () => number;
}

/** Milliseconds by which caps run ahead of the plan: two rounds of reports. */
const capLead = 700;
/** Times the planned share that boxes pace themselves by, so that the caps bind. */
const shareLead = 1.5;
/** Part of the requests that try the target at most while it is watched; also what is assumed before the rate is known. */
const greatestShare = 0.5;
/** Part of the requests that try the target before the rate is known. */
const firstShare = 0.1;
/** Servers that a sample has at least while it is spread, one for each group. */
const fewestSpread = 8;
/** Servers that a sample has at least while it is concentrated: two might be bad at once, and their version good. */
const fewestLoaded = 3;
/** Stands for all servers of the target. */
const allServers = 1_000_000;
/** Milliseconds of a second, the unit of the rate. */
const second = 1000;
/** Number of values that a hash of 32 bits can have. */
const twoToThe32 = 4294967296;

/** Where the watch began. */
interface WatchStart {
    readonly age: Milliseconds;
    readonly total: number;
}

/** Creates the division of an account. */
export function createRolloutGrants({ budget: account, rollout, serverCount }: RolloutGrantsOptions): RolloutGrants {
    const capAtFirst = new Map<string, number>();
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
                cap: account.capOf(box, report.incarnation),
                share,
                sampledServerCount: sampledServers(share, context),
                grantedTotal: account.grantedTotal(),
                age,
            };
        },
    };

    function raiseCap(box: BoxId, report: RolloutReport, context: GrantContext): void {
        const { incarnation, sent } = report;
        const cap = account.capOf(box, incarnation);
        const part = sent / Math.max(1, account.sent());
        if (context.stage === "moving") {
            account.raiseCap(box, incarnation, cap + Math.floor(context.left * part + roundingOf(box)));
            return;
        }
        const name = `${box} ${incarnation}`;
        const first = capAtFirst.get(name) ?? cap;
        capAtFirst.set(name, first);
        account.raiseCap(box, incarnation, first + Math.floor(part * plannedBy(context) + roundingOf(box)));
    }

    /** Requests that all boxes together may have sent to the target by now, since the watch began. */
    function plannedBy({ age, plan }: GrantContext): number {
        const start = watchStart ??= { age, total: account.grantedTotal() };
        const due = age + capLead;
        const ahead = due < plan.concentrateAt
            ? between(due, start.age, plan.concentrateAt) * (plan.requestsBeforeConcentration - start.total)
            : plan.requestsBeforeConcentration - start.total
                + between(due, plan.concentrateAt, plan.samplingEndsAt)
                    * (plan.requestsBeforeMove - plan.requestsBeforeConcentration);
        return Math.max(0, ahead);
    }

    function shareOf({ age, plan, rate, stage }: GrantContext): number {
        if (stage === "moving") {
            return 1;
        }
        const start = watchStart ?? { age: 0, total: 0 };
        const [time, planned] = isLoading(age, plan)
            ? [plan.samplingEndsAt - plan.concentrateAt, plan.requestsBeforeMove - plan.requestsBeforeConcentration]
            : [plan.concentrateAt - start.age, plan.requestsBeforeConcentration - start.total];
        const requests = rate * Math.max(0, time) / second;
        return requests <= 0 ? firstShare : Math.min(greatestShare, shareLead * Math.max(0, planned) / requests);
    }

    /** While the sample is concentrated, as many as bear the load of a full day by the share: some versions fail under load only. */
    function sampledServers(share: number, { age, plan, stage }: GrantContext): number {
        if (stage === "moving") {
            return allServers;
        }
        const loaded = Math.floor(share / shareLead * serverCount());
        return Math.max(isLoading(age, plan) ? fewestLoaded : fewestSpread, loaded);
    }
}

/** Boxes hear of it a round later. */
function isLoading(age: Milliseconds, plan: RolloutPlan): boolean {
    return age >= plan.concentrateAt;
}

/** Part of the way from one time to another, from 0 to 1. */
function between(at: number, from: number, to: number): number {
    return Math.min(1, Math.max(0, (at - from) / Math.max(1, to - from)));
}

function roundingOf(box: BoxId): number {
    return hashText(box) / twoToThe32;
}
