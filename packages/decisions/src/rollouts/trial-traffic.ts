/**
 * The trial traffic of one order at one box: selects the requests that try the target
 * version, and counts what was sent and answered.
 *
 * The cap of the grant bounds the requests that the box sends to the target, and the
 * share paces them. If the box's own evidence shows a bad version, it sends no more.
 *
 * Owns this box's counts since it learned of the order, and its grant. Relies on grants
 * of the deciding box, and on `ServedVersions` for the cohorts of servers.
 */

import { hashText, type IncarnationId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import { versionOf } from "./proven-versions.js";
import type { RolloutDecision, RolloutGrant, RolloutReport, RolloutStage } from "./rollout-messages.js";
import { isSameRollout, type RolloutOrder } from "./rollout-order.js";
import { createRouteSampling } from "./route-sampling.js";
import type { ServedVersions } from "./served-versions.js";
import { createTrialEvidence, type TrialAnswer } from "./trial-evidence.js";
import { evaluateTrial } from "./verdict.js";

/** The traffic of one order at one box. */
export interface TrialTraffic {
    /**
     * Returns true if the first attempt of a request is to go to the target. The request then counts against the
     * cap, and a call of `onSent` or `onNotSent` must follow.
     */
    readonly assign: (routeName: string) => boolean;
    /** An assigned request was not sent because no sampled server could take it. */
    readonly onNotSent: () => void;
    /** An attempt of any request of the service is sent to a server. */
    readonly onSent: (server: BackendServer) => void;
    /** An attempt has ended, whatever its outcome. */
    readonly onEnded: (server: BackendServer) => void;
    readonly onAnswer: (answer: TrialAnswer) => void;
    readonly onGrant: (grant: RolloutGrant, at: Milliseconds) => void;
    readonly onDecision: (received: RolloutDecision) => void;
    /** The report for the deciding box; undefined once the order is decided. */
    readonly report: (at: Milliseconds) => RolloutReport | undefined;
    /** The latest decision passed to `onDecision`. */
    readonly decision: () => RolloutDecision["decision"] | undefined;
    readonly stage: () => RolloutStage;
    /** Share of the requests that try the target now, from 0 to 1. */
    readonly share: () => number;
    readonly sampledServerCount: () => number;
    /** Time since the order as this box knows it. */
    readonly age: (at: Milliseconds) => Milliseconds;
}

export interface TrialTrafficOptions {
    readonly order: RolloutOrder;
    readonly incarnation: IncarnationId;
    readonly versions: Pick<ServedVersions, "cohortOf" | "trialVersion">;
    /** Time since the order when this box learned of it; 0 if the box learned of it at once. */
    readonly age: Milliseconds;
    readonly at: Milliseconds;
}

/** Number of trial answers at this box after which it evaluates its own evidence again. */
const answersPerEvaluation = 8;

/** Minimum cap of which every box reserves one request for rare routes until the move. */
const minReservingCap = 3;
/**
 * One in this many boxes reserves a request of a smaller cap too: among many boxes with little traffic, some
 * must have one left when a request of a rare route arrives.
 */
const reservingBoxInterval = 6;

/** Creates the traffic of an order that this box has just learned of, without a grant. */
export function createTrialTraffic(options: TrialTrafficOptions): TrialTraffic {
    const { order, versions } = options;
    const evidence = createTrialEvidence();
    const sampling = createRouteSampling();
    const isReserving = hashText(options.incarnation) % reservingBoxInterval === 0;
    let ageAtStart: number = options.age;
    let sent = 0;
    let sentToTrial = 0;
    let assigned = 0;
    let inProgressOnOtherVersions = 0;
    let trialAnswerCount = 0;
    let isOwnVerdictBad = false;
    let knownGrantedTotal: number | undefined;
    let grant: RolloutGrant | undefined;
    let decision: RolloutDecision["decision"] | undefined;

    return {
        assign(routeName) {
            sampling.onRequest(routeName, share());
            const cap = grant?.cap ?? 0;
            const left = cap - sentToTrial - assigned;
            if (share() <= 0 || left < 1 || versions.trialVersion(order.service) !== order.targetVersion) {
                return false;
            }
            if (!sampling.take(routeName, share(), left, isReserving || cap >= minReservingCap ? 1 : 0)) {
                return false;
            }
            assigned += 1;
            return true;
        },
        onNotSent() {
            assigned = Math.max(0, assigned - 1);
        },
        onSent(server) {
            sent += 1;
            if (hasTargetVersion(server)) {
                assigned = Math.max(0, assigned - 1);
                sentToTrial += 1;
                return;
            }
            inProgressOnOtherVersions += 1;
        },
        onEnded(server) {
            if (!hasTargetVersion(server)) {
                inProgressOnOtherVersions = Math.max(0, inProgressOnOtherVersions - 1);
            }
        },
        onAnswer(answer) {
            const cohort = versions.cohortOf(answer.server);
            if (cohort === undefined || answer.wasCold) {
                return;
            }
            evidence.add(answer, cohort);
            trialAnswerCount += cohort.isTrial ? 1 : 0;
            if (cohort.isTrial && trialAnswerCount % answersPerEvaluation === 0) {
                evaluateOwnEvidence();
            }
        },
        onGrant(next, at) {
            if (!isSameRollout(next.rollout, order)) {
                return;
            }
            const cap = Math.max(next.cap, grant?.cap ?? 0);
            // An older grant that arrives late must not reopen a trial that a newer one has ended.
            grant = { ...(grant !== undefined && isFinal(grant.stage) ? grant : next), cap };
            knownGrantedTotal = Math.max(next.grantedTotal, knownGrantedTotal ?? 0);
            ageAtStart = Math.max(ageAtStart, next.age - (at - options.at));
        },
        onDecision(received) {
            if (isSameRollout(received.rollout, order)) {
                decision = received.decision;
            }
        },
        report: at => isDecided() ? undefined : createReport(at),
        decision: () => decision,
        stage: () => decision ?? grant?.stage ?? "watching",
        share,
        sampledServerCount: () => isDecided() ? 0 : grant?.sampledServerCount ?? 0,
        age,
    };

    function createReport(at: Milliseconds): RolloutReport {
        const { createdAt, service, targetVersion } = order;
        return {
            rollout: { createdAt, service, targetVersion },
            incarnation: options.incarnation,
            sent,
            sentToTrial,
            inProgressOnOtherVersions,
            cap: grant?.cap ?? 0,
            knownGrantedTotal,
            age: age(at),
            cells: evidence.cells(),
        };
    }

    function isDecided(): boolean {
        return decision !== undefined || grant?.stage === "completed" || grant?.stage === "rolledBack";
    }

    function share(): number {
        return isDecided() || isOwnVerdictBad || grant === undefined ? 0 : grant.share;
    }

    function evaluateOwnEvidence(): void {
        const isMoving = grant?.stage === "moving";
        isOwnVerdictBad ||= evaluateTrial([{ table: evidence.table(), isMoving }]).kind === "bad";
    }

    function hasTargetVersion(server: BackendServer): boolean {
        return versionOf(server) === order.targetVersion;
    }

    function age(at: Milliseconds): Milliseconds {
        return milliseconds(ageAtStart + at - options.at);
    }
}

/** True for a stage that is not followed by another. */
function isFinal(stage: RolloutStage): boolean {
    return stage === "completed" || stage === "rolledBack";
}
