/**
 * A box's part in one order: which of its requests try the target version, what
 * it sent, and what the answers show.
 *
 * The cap bounds what the box sends, the share paces it. A box whose own
 * evidence shows a bad version sends it nothing more.
 *
 * Owns the counts of this box since it learned of the order, and its grant; relies
 * on grants of the deciding box and on `ServedVersions` for what a server takes part in.
 */

import { hashText, type IncarnationId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import { versionOf } from "./proven-versions.js";
import type { RolloutDecision, RolloutGrant, RolloutReport, RolloutStage } from "./rollout-messages.js";
import { isSameRollout, type RolloutOrder } from "./rollout-order.js";
import { createRouteSampling } from "./route-sampling.js";
import type { ServedVersions } from "./served-versions.js";
import { createTrialEvidence, type TrialAnswer } from "./trial-evidence.js";
import { judgeTrial } from "./verdict.js";

/** The traffic of one order at one box. */
export interface TrialTraffic {
    /**
     * True if the first try of a request shall go to the target. It counts against the cap until `onSent` or `onNotSent`: one
     * of them must follow.
     */
    readonly assign: (routeName: string) => boolean;
    /** No server of the sample could take an assigned request. */
    readonly onNotSent: () => void;
    /** A request of the service, or a further try of it, goes to a server. */
    readonly onSent: (server: BackendServer) => void;
    /** It ended in any way. */
    readonly onEnded: (server: BackendServer) => void;
    readonly onAnswer: (answer: TrialAnswer) => void;
    readonly onGrant: (grant: RolloutGrant, at: Milliseconds) => void;
    readonly onDecision: (news: RolloutDecision) => void;
    /** What this box tells the deciding box; undefined once the order is decided. */
    readonly report: (at: Milliseconds) => RolloutReport | undefined;
    /** What news told; the store's state is not looked at here. */
    readonly decision: () => RolloutDecision["decision"] | undefined;
    readonly stage: () => RolloutStage;
    /** Part of the requests that try the target now. */
    readonly share: () => number;
    readonly sampledServerCount: () => number;
    /** Time since the order, as far as this box knows. */
    readonly age: (at: Milliseconds) => Milliseconds;
}

export interface TrialTrafficOptions {
    readonly order: RolloutOrder;
    readonly incarnation: IncarnationId;
    readonly versions: Pick<ServedVersions, "cohortOf" | "trialVersion">;
    /** Time since the order when this box learned of it; 0 if it saw it come. */
    readonly age: Milliseconds;
    readonly at: Milliseconds;
}

/** Answers of a trial by this box between two looks at its own evidence. */
const answersBetweenLooks = 8;

/** Cap from which a box keeps one of it for rare routes until the move. */
const capOfReserve = 3;
/** One in so many boxes keeps one of a smaller cap: of many boxes with little traffic some must have one left when a rare route comes. */
const reservingBoxes = 6;

/** Creates the traffic of an order that this box has just learned of; nothing is granted yet. */
export function createTrialTraffic(options: TrialTrafficOptions): TrialTraffic {
    const { order, versions } = options;
    const evidence = createTrialEvidence();
    const sampling = createRouteSampling();
    const isReserving = hashText(options.incarnation) % reservingBoxes === 0;
    let ageAtStart: number = options.age;
    let sent = 0;
    let sentToTrial = 0;
    let assigned = 0;
    let inProgressElsewhere = 0;
    let answersSeen = 0;
    let isOwnVerdictBad = false;
    let knownTotal: number | undefined;
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
            if (!sampling.take(routeName, share(), left, isReserving || cap >= capOfReserve ? 1 : 0)) {
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
            if (isOfTarget(server)) {
                assigned = Math.max(0, assigned - 1);
                sentToTrial += 1;
                return;
            }
            inProgressElsewhere += 1;
        },
        onEnded(server) {
            if (!isOfTarget(server)) {
                inProgressElsewhere = Math.max(0, inProgressElsewhere - 1);
            }
        },
        onAnswer(answer) {
            const place = versions.cohortOf(answer.server);
            if (place === undefined || answer.wasCold) {
                return;
            }
            evidence.add(answer, place);
            answersSeen += place.isTrial ? 1 : 0;
            if (place.isTrial && answersSeen % answersBetweenLooks === 0) {
                lookAtOwnEvidence();
            }
        },
        onGrant(next, at) {
            if (!isSameRollout(next.rollout, order)) {
                return;
            }
            const cap = Math.max(next.cap, grant?.cap ?? 0);
            // A grant that was overtaken on its way must not open again what a later one closed.
            grant = { ...(grant !== undefined && isFinal(grant.stage) ? grant : next), cap };
            knownTotal = Math.max(next.grantedTotal, knownTotal ?? 0);
            ageAtStart = Math.max(ageAtStart, next.age - (at - options.at));
        },
        onDecision(news) {
            if (isSameRollout(news.rollout, order)) {
                decision = news.decision;
            }
        },
        report: at => isDecided() ? undefined : reportAt(at),
        decision: () => decision,
        stage: () => decision ?? grant?.stage ?? "watching",
        share,
        sampledServerCount: () => isDecided() ? 0 : grant?.sampledServerCount ?? 0,
        age,
    };

    function reportAt(at: Milliseconds): RolloutReport {
        const { createdAt, service, targetVersion } = order;
        return {
            rollout: { createdAt, service, targetVersion },
            incarnation: options.incarnation,
            sent,
            sentToTrial,
            inProgressOnOtherVersions: inProgressElsewhere,
            cap: grant?.cap ?? 0,
            knownGrantedTotal: knownTotal,
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

    function lookAtOwnEvidence(): void {
        const isMoving = grant?.stage === "moving";
        isOwnVerdictBad ||= judgeTrial([{ table: evidence.table(), isMoving }]).kind === "bad";
    }

    function isOfTarget(server: BackendServer): boolean {
        return versionOf(server) === order.targetVersion;
    }

    function age(at: Milliseconds): Milliseconds {
        return milliseconds(ageAtStart + at - options.at);
    }
}

/** True for a stage on which nothing follows. */
function isFinal(stage: RolloutStage): boolean {
    return stage === "completed" || stage === "rolledBack";
}
