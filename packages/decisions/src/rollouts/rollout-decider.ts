/**
 * Decides one order at the deciding box: watching -> moving -> completed or
 * rolledBack.
 *
 * - `running` stands in the store before anything is granted: so a decider that
 *   finds it there knows that others may have granted.
 * - The version is watched until `moveAt` (`rollout-plan`); then all new requests go
 *   to it, out of the account, until those in progress elsewhere have ended, and `completed` is written.
 * - A bad verdict is told at once and then written; it is final. What is undecided
 *   at the end is rolled back.
 *
 * Owns the account, the evidence of all boxes and the stage; all of it is rebuilt
 * from reports when another box takes over.
 */

import { type BoxId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createEvidenceHistory } from "./evidence-history.js";
import { createExposureBudget } from "./exposure-budget.js";
import { createReportingBoxes, estimateMeanRequestTime } from "./reporting-boxes.js";
import type { AddressedGrant, RolloutAction, RolloutStatus, RolloutStepInputs } from "./rollout-action.js";
import { createRolloutGrants } from "./rollout-grants.js";
import type { RolloutDecision, RolloutGrant, RolloutReport, RolloutStage } from "./rollout-messages.js";
import type { RolloutBounds, RolloutId, RolloutOrder } from "./rollout-order.js";
import { planRollout, type RolloutPlan } from "./rollout-plan.js";
import { describeVerdict, judgeTrial } from "./verdict.js";
import type { EvidenceWindow } from "./version-comparison.js";

/** Decides one order. */
export interface RolloutDecider {
    /** Takes a box's report and answers with its grant. */
    readonly onReport: (box: BoxId, report: RolloutReport, at: Milliseconds) => RolloutGrant;
    /** Due some times a second. The same action is returned until the copy of the order shows its effect. */
    readonly step: (at: Milliseconds, inputs: RolloutStepInputs) => RolloutAction;
    /** Grants to push to boxes after a step that changed the stage; empty after others. */
    readonly grantsToPush: () => readonly AddressedGrant[];
    /** What to tell all boxes: `rolledBack` as soon as it is decided, `completed` once the store has it. */
    readonly news: () => RolloutDecision | undefined;
    readonly status: (at: Milliseconds) => RolloutStatus;
}

export interface RolloutDeciderOptions {
    readonly order: RolloutOrder;
    readonly bounds: RolloutBounds;
    /** Servers of the target that are listed now. */
    readonly serverCount: () => number;
    /** Time since the order, as far as this box knows; undefined if it can't know. */
    readonly age: Milliseconds | undefined;
    /** The store has had the order running, and may have lost that: boxes may have been granted requests. */
    readonly hasRun: boolean;
    readonly at: Milliseconds;
}

/** Milliseconds in which a decider that takes over hears of all boxes, before it grants anything. */
const settleTime = 1000;
/** Milliseconds since the order where nobody knows: a loss of all memory takes as long at least. */
const unknownAge = 4000;
/** Parts of the duration whose evidence is looked at besides the whole. */
const spanParts = [0.2, 0.45];
/** Milliseconds of evidence that a span has at least. */
const shortestSpan = 2000;
/** Part of the requests in progress elsewhere when the move began, which may be left when it counts as done. */
const leftInProgress = 0.02;
/** Milliseconds of work that is assumed before any is known. */
const firstWorkTime = milliseconds(800);
/** Milliseconds before the write is due in which no move begins: no box would hear of it in time. */
const latestMove = 100;

/** A move that has begun. */
interface Move {
    readonly at: Milliseconds;
    readonly inProgress: number;
    /** Sum of caps with which boxes heard of it. */
    total: number;
}

/** Creates the decider of an order; it knows nothing of boxes yet. */
export function createRolloutDecider(options: RolloutDeciderOptions): RolloutDecider {
    const { bounds, order: { createdAt, duration, service, targetVersion } } = options;
    const rollout: RolloutId = { createdAt, service, targetVersion };
    const account = createExposureBudget(bounds);
    const grants = createRolloutGrants({ rollout, budget: account, serverCount: options.serverCount });
    const boxes = createReportingBoxes();
    const history = createEvidenceHistory();
    let order = options.order;
    let stage: RolloutStage = "watching";
    let reason: string | undefined;
    let ageAtStart: number = options.age ?? 0;
    let move: Move | undefined;
    let knowsTotal = false;
    /** Since when this box waits to hear what boxes were granted before: another box let the order run. */
    let takenOverAt = options.order.state === "running" || options.hasRun ? options.at : undefined;
    let isSettled = takenOverAt === undefined;
    let hasAskedToRun = false;
    let workTime = firstWorkTime;
    let changed: readonly AddressedGrant[] = [];
    let verdict = judgeTrial([{ table: history.sinceStart(), isMoving: false }]);

    return {
        onReport(box, report, at) {
            knowsTotal ||= report.knownGrantedTotal !== undefined;
            ageAtStart = Math.max(ageAtStart, report.age - (at - options.at));
            account.onReport(box, report);
            boxes.onReport(box, report, at);
            history.onReport(box, report);
            return grantTo(box, report, at, leftInAccount());
        },
        step(at, inputs) {
            noteTakeover(inputs.order, at);
            order = inputs.order;
            history.takeSnapshot(at);
            learnWorkTime(at);
            settle(at);
            const stageBefore = shownStage();
            advance(at, inputs);
            changed = shownStage() === stageBefore ? [] : grantAll(at);
            return actionFor(inputs);
        },
        grantsToPush: () => changed,
        news() {
            const decision = shownStage();
            return decision === "completed" || decision === "rolledBack"
                ? { rollout, decision, reason: reason ?? "" }
                : undefined;
        },
        status: at => ({
            rollout,
            stage,
            age: ageAt(at),
            plan: planAt(at),
            sent: account.sent(),
            sentToTrial: account.sentToTrial(),
            grantedTotal: account.grantedTotal(),
            allowed: account.allowed(),
            verdict,
            reason,
        }),
    };

    function advance(at: Milliseconds, inputs: RolloutStepInputs): void {
        if (order.state === "completed" || order.state === "rolledBack") {
            end(order.state, "found in the store");
            return;
        }
        if (stage === "rolledBack" || !isSettled) {
            return;
        }
        if (inputs.isTargetProven && order.state === undefined) {
            end("completed", "target proven already");
            return;
        }
        verdict = judgeTrial(spansAt(at));
        if (verdict.kind === "bad") {
            end("rolledBack", describeVerdict(verdict));
            return;
        }
        if (stage !== "completed") {
            advanceUndecided(at, inputs);
        }
    }

    function advanceUndecided(at: Milliseconds, { isStoreReachable }: RolloutStepInputs): void {
        const age = ageAt(at);
        const { moveAt, writeAt } = planAt(at);
        if (age >= writeAt) {
            // Moved as far as the account allowed: what the version showed decides.
            end(verdict.kind === "good" ? "completed" : "rolledBack", describeVerdict(verdict));
            return;
        }
        if (move !== undefined) {
            endMove(move, at);
            return;
        }
        const mayMove = order.state === "running" && isStoreReachable && boxes.hasQuorum(at);
        if (mayMove && verdict.kind === "good" && age >= moveAt && age < writeAt - latestMove) {
            stage = "moving";
            move = { at, inProgress: boxes.inProgressOnOtherVersions(at), total: Infinity };
        }
    }

    /** The move is done when all boxes have heard of it and hardly a request is left elsewhere; answers to it count first. */
    function endMove({ at: beganAt, inProgress, total }: Move, at: Milliseconds): void {
        const hasReached = boxes.active(at).every(({ report }) => (report.knownGrantedTotal ?? 0) >= total);
        const hasEnded = boxes.inProgressOnOtherVersions(at) <= inProgress * leftInProgress;
        if (hasReached && hasEnded && at - beganAt >= workTime && verdict.kind === "good") {
            end("completed", describeVerdict(verdict));
        }
    }

    function end(outcome: "completed" | "rolledBack", why: string): void {
        if (stage !== outcome) {
            stage = outcome;
            reason = why;
        }
    }

    function actionFor({ isStoreReachable }: RolloutStepInputs): RolloutAction {
        if (order.state === "completed" || order.state === "rolledBack") {
            return { kind: "none" };
        }
        switch (stage) {
            case "completed":
                return { kind: "writeCompleted", reason: reason ?? "" };
            case "rolledBack":
                return { kind: "writeRolledBack", reason: reason ?? "" };
            case "watching":
            case "moving":
                return order.state === undefined && isStoreReachable ? askToRun() : { kind: "none" };
        }
    }

    function askToRun(): RolloutAction {
        hasAskedToRun = true;
        return { kind: "writeRunning" };
    }

    /** An order that runs though this box has not asked for it was granted from by another box. */
    function noteTakeover({ state }: RolloutOrder, at: Milliseconds): void {
        if (state === "running" && order.state === undefined && !hasAskedToRun) {
            takenOverAt ??= at;
            isSettled = false;
        }
    }

    function grantTo(box: BoxId, report: RolloutReport, at: Milliseconds, left: number): RolloutGrant {
        return grants.grantTo(box, report, {
            stage: shownStage(),
            age: ageAt(at),
            plan: planAt(at),
            rate: boxes.rate(at),
            left,
            isOpen: order.state === "running" && isSettled && stage !== "rolledBack",
        });
    }

    function leftInAccount(): number {
        return Math.max(0, account.allowed() - account.grantedTotal());
    }

    function grantAll(at: Milliseconds): readonly AddressedGrant[] {
        const left = leftInAccount();
        const all = boxes.active(at).map(({ box, report }) => ({ box, grant: grantTo(box, report, at, left) }));
        if (move?.total === Infinity) {
            move.total = account.grantedTotal();
        }
        return all.map(({ box, grant }) => ({ box, grant: { ...grant, grantedTotal: account.grantedTotal() } }));
    }

    /** Boxes go on moving until the store has the outcome: then the versions that are served follow it. */
    function shownStage(): RolloutStage {
        return stage === "completed" && order.state !== "completed" ? "moving" : stage;
    }

    function spansAt(at: Milliseconds): [EvidenceWindow, ...EvidenceWindow[]] {
        const isMoving = stage === "moving" || stage === "completed";
        const lengths = spanParts.map(part => Math.max(shortestSpan, duration * part));
        return [
            { table: history.sinceStart(), isMoving },
            ...lengths.map(length => ({ table: history.since(milliseconds(at - length)), isMoving })),
        ];
    }

    function planAt(at: Milliseconds): RolloutPlan {
        return planRollout({
            bounds,
            duration,
            rate: boxes.rate(at),
            meanRequestTime: workTime,
            allowed: account.allowed(),
            age: ageAt(at),
        });
    }

    function learnWorkTime(at: Milliseconds): void {
        if (stage === "watching") {
            workTime = estimateMeanRequestTime(boxes.inProgressOnOtherVersions(at), boxes.rate(at)) ?? workTime;
        }
    }

    function settle(at: Milliseconds): void {
        if (takenOverAt === undefined || isSettled || at - takenOverAt < settleTime) {
            return;
        }
        isSettled = true;
        if (!knowsTotal) {
            account.onGrantHistoryLost();
            ageAtStart = Math.max(ageAtStart, unknownAge);
        }
    }

    function ageAt(at: Milliseconds): Milliseconds {
        return milliseconds(ageAtStart + at - options.at);
    }
}
