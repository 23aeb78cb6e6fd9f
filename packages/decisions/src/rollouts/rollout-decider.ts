/**
 * Decides one order at the deciding box: from `watching` to `moving` to `completed`,
 * or to `rolledBack`.
 *
 * - `running` is written to the store before anything is granted. A decider that finds
 *   it there knows that another one may have granted requests.
 * - The version is watched until `moveAt` (`rollout-plan`). Then all new requests go to
 *   it, within the exposure budget. Once those in progress at other versions have
 *   ended, `completed` is written.
 * - A bad verdict is final: it is announced at once and then written. An order that is
 *   still undecided when the outcome has to be written is rolled back.
 *
 * Owns the exposure budget, the evidence of all boxes and the stage. All of it is
 * rebuilt from reports when another box takes over.
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
import { describeVerdict, evaluateTrial } from "./verdict.js";
import type { EvidenceWindow } from "./version-comparison.js";

/** The decider of one order. */
export interface RolloutDecider {
    /** Takes a box's report and returns its grant. */
    readonly onReport: (box: BoxId, report: RolloutReport, at: Milliseconds) => RolloutGrant;
    /**
     * Advances the order. Call it several times a second; it returns the same action until the order's state
     * shows the write.
     */
    readonly step: (at: Milliseconds, inputs: RolloutStepInputs) => RolloutAction;
    /** Grants to push to boxes if the last step changed the stage; empty otherwise. */
    readonly grantsToPush: () => readonly AddressedGrant[];
    /**
     * The decision to announce to all boxes: `rolledBack` as soon as it is taken, `completed` once the store has
     * it.
     */
    readonly decisionToAnnounce: () => RolloutDecision | undefined;
    readonly status: (at: Milliseconds) => RolloutStatus;
}

export interface RolloutDeciderOptions {
    readonly order: RolloutOrder;
    readonly bounds: RolloutBounds;
    /** Number of listed servers of the target version. */
    readonly serverCount: () => number;
    /** Time since the order as this box knows it; undefined if unknown. */
    readonly age: Milliseconds | undefined;
    /**
     * The order has run before, even if a restore of the store has lost its state: boxes may have been granted
     * requests.
     */
    readonly hasRun: boolean;
    readonly at: Milliseconds;
}

/** Milliseconds for which a decider that takes over collects reports from all boxes before it grants anything. */
const takeoverWait = 1000;
/**
 * Minimum age in milliseconds of an order that has run but whose granted total no box knows: losing it on all
 * boxes takes at least this long.
 */
const minUnknownAge = 4000;
/** Fractions of the duration that the evidence windows cover, besides the window of the whole trial. */
const windowFractions = [0.2, 0.45];
/** Minimum length of an evidence window in milliseconds. */
const minWindowLength = 2000;
/**
 * Fraction of the requests in progress at other versions when the move began that may remain when it counts as
 * done.
 */
const maxRemainingFraction = 0.02;
/** Mean request time in milliseconds that is assumed before there is an estimate. */
const initialRequestTime = milliseconds(800);
/** A move does not begin within this many milliseconds before the write is due: no box would hear of it in time. */
const minMoveTime = 100;

/** A move that is in progress. */
interface Move {
    readonly at: Milliseconds;
    readonly inProgress: number;
    /** Granted total of the grants that announced the move; Infinity until they are made. */
    grantedTotal: number;
}

/** Creates the decider of an order. It starts without reports; see `takeoverWait`. */
export function createRolloutDecider(options: RolloutDeciderOptions): RolloutDecider {
    const { bounds, order: { createdAt, duration, service, targetVersion } } = options;
    const rollout: RolloutId = { createdAt, service, targetVersion };
    const budget = createExposureBudget(bounds);
    const grants = createRolloutGrants({ rollout, budget, serverCount: options.serverCount });
    const boxes = createReportingBoxes();
    const evidenceHistory = createEvidenceHistory();
    let order = options.order;
    let stage: RolloutStage = "watching";
    let reason: string | undefined;
    let ageAtStart: number = options.age ?? 0;
    let move: Move | undefined;
    let isGrantHistoryKnown = false;
    /**
     * When this box began to collect earlier grants from reports; undefined while no other box can have granted
     * any.
     */
    let takenOverAt = options.order.state === "running" || options.hasRun ? options.at : undefined;
    let isTakeoverComplete = takenOverAt === undefined;
    let hasRequestedRunning = false;
    let meanRequestTime = initialRequestTime;
    let stageChangeGrants: readonly AddressedGrant[] = [];
    let verdict = evaluateTrial([{ table: evidenceHistory.sinceStart(), isMoving: false }]);

    return {
        onReport(box, report, at) {
            isGrantHistoryKnown ||= report.knownGrantedTotal !== undefined;
            ageAtStart = Math.max(ageAtStart, report.age - (at - options.at));
            budget.onReport(box, report);
            boxes.onReport(box, report, at);
            evidenceHistory.onReport(box, report);
            return grantTo(box, report, at, remainingBudget());
        },
        step(at, inputs) {
            detectTakeover(inputs.order, at);
            order = inputs.order;
            evidenceHistory.takeSnapshot(at);
            updateMeanRequestTime(at);
            completeTakeover(at);
            const stageBefore = announcedStage();
            advance(at, inputs);
            stageChangeGrants = announcedStage() === stageBefore ? [] : grantAll(at);
            return actionFor(inputs);
        },
        grantsToPush: () => stageChangeGrants,
        decisionToAnnounce() {
            const decision = announcedStage();
            return decision === "completed" || decision === "rolledBack"
                ? { rollout, decision, reason: reason ?? "" }
                : undefined;
        },
        status: at => ({
            rollout,
            stage,
            age: ageAt(at),
            plan: planAt(at),
            sent: budget.sent(),
            sentToTrial: budget.sentToTrial(),
            grantedTotal: budget.grantedTotal(),
            allowed: budget.allowed(),
            verdict,
            reason,
        }),
    };

    function advance(at: Milliseconds, inputs: RolloutStepInputs): void {
        if (order.state === "completed" || order.state === "rolledBack") {
            conclude(order.state, "outcome found in the store");
            return;
        }
        if (stage === "rolledBack" || !isTakeoverComplete) {
            return;
        }
        if (inputs.isTargetProven && order.state === undefined) {
            conclude("completed", "target is already the proven version");
            return;
        }
        verdict = evaluateTrial(windowsAt(at));
        if (verdict.kind === "bad") {
            conclude("rolledBack", describeVerdict(verdict));
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
            // The time is up, however far the move has come; the current verdict decides.
            conclude(verdict.kind === "good" ? "completed" : "rolledBack", describeVerdict(verdict));
            return;
        }
        if (move !== undefined) {
            completeMoveWhenDone(move, at);
            return;
        }
        const mayMove = order.state === "running" && isStoreReachable && boxes.hasQuorum(at);
        if (mayMove && verdict.kind === "good" && age >= moveAt && age < writeAt - minMoveTime) {
            stage = "moving";
            move = { at, inProgress: boxes.inProgressOnOtherVersions(at), grantedTotal: Infinity };
        }
    }

    /**
     * Completes the order once all boxes have received the move's grants and nearly all requests at other
     * versions have ended. The move takes at least a mean request time, so that its own answers count in the
     * verdict.
     */
    function completeMoveWhenDone({ at: beganAt, inProgress, grantedTotal }: Move, at: Milliseconds): void {
        const haveAllBoxesHeard = boxes.active(at).every(({ report }) =>
            (report.knownGrantedTotal ?? 0) >= grantedTotal
        );
        const haveOthersDrained = boxes.inProgressOnOtherVersions(at) <= inProgress * maxRemainingFraction;
        if (haveAllBoxesHeard && haveOthersDrained && at - beganAt >= meanRequestTime && verdict.kind === "good") {
            conclude("completed", describeVerdict(verdict));
        }
    }

    function conclude(outcome: "completed" | "rolledBack", outcomeReason: string): void {
        if (stage !== outcome) {
            stage = outcome;
            reason = outcomeReason;
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
                return order.state === undefined && isStoreReachable ? requestRunning() : { kind: "none" };
        }
    }

    function requestRunning(): RolloutAction {
        hasRequestedRunning = true;
        return { kind: "writeRunning" };
    }

    /** If the order starts running without this box's request, another box may have granted requests for it. */
    function detectTakeover({ state }: RolloutOrder, at: Milliseconds): void {
        if (state === "running" && order.state === undefined && !hasRequestedRunning) {
            takenOverAt ??= at;
            isTakeoverComplete = false;
        }
    }

    function grantTo(box: BoxId, report: RolloutReport, at: Milliseconds, remaining: number): RolloutGrant {
        return grants.grantTo(box, report, {
            stage: announcedStage(),
            age: ageAt(at),
            plan: planAt(at),
            rate: boxes.rate(at),
            remaining,
            isOpen: order.state === "running" && isTakeoverComplete && stage !== "rolledBack",
        });
    }

    function remainingBudget(): number {
        return Math.max(0, budget.allowed() - budget.grantedTotal());
    }

    function grantAll(at: Milliseconds): readonly AddressedGrant[] {
        const remaining = remainingBudget();
        const all = boxes.active(at).map(({ box, report }) => ({ box, grant: grantTo(box, report, at, remaining) }));
        if (move?.grantedTotal === Infinity) {
            move.grantedTotal = budget.grantedTotal();
        }
        return all.map(({ box, grant }) => ({ box, grant: { ...grant, grantedTotal: budget.grantedTotal() } }));
    }

    /**
     * The stage to announce: boxes keep moving until the store has the outcome, which then determines the served
     * versions.
     */
    function announcedStage(): RolloutStage {
        return stage === "completed" && order.state !== "completed" ? "moving" : stage;
    }

    function windowsAt(at: Milliseconds): [EvidenceWindow, ...EvidenceWindow[]] {
        const isMoving = stage === "moving" || stage === "completed";
        const lengths = windowFractions.map(fraction => Math.max(minWindowLength, duration * fraction));
        return [
            { table: evidenceHistory.sinceStart(), isMoving },
            ...lengths.map(length => ({ table: evidenceHistory.since(milliseconds(at - length)), isMoving })),
        ];
    }

    function planAt(at: Milliseconds): RolloutPlan {
        return planRollout({
            bounds,
            duration,
            rate: boxes.rate(at),
            meanRequestTime,
            allowed: budget.allowed(),
            age: ageAt(at),
        });
    }

    function updateMeanRequestTime(at: Milliseconds): void {
        if (stage === "watching") {
            meanRequestTime = estimateMeanRequestTime(boxes.inProgressOnOtherVersions(at), boxes.rate(at))
                ?? meanRequestTime;
        }
    }

    function completeTakeover(at: Milliseconds): void {
        if (takenOverAt === undefined || isTakeoverComplete || at - takenOverAt < takeoverWait) {
            return;
        }
        isTakeoverComplete = true;
        if (!isGrantHistoryKnown) {
            budget.onGrantHistoryLost();
            ageAtStart = Math.max(ageAtStart, minUnknownAge);
        }
    }

    function ageAt(at: Milliseconds): Milliseconds {
        return milliseconds(ageAtStart + at - options.at);
    }
}
