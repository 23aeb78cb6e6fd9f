/**
 * Validates in full what other boxes send about roll-outs.
 *
 * Owns no state.
 */

import type { RolloutStage, RolloutState } from "@chalkdale/decisions";
import { maxReasonLength, maxReportCells, type RolloutMessage, unknownGrantedTotal } from "./rollout-messages.js";

/** Groups into which servers are divided by hash. */
const groupCount = 8;
const states: readonly RolloutState[] = ["running", "completed", "rolledBack"];
const stages: readonly RolloutStage[] = ["watching", "moving", "completed", "rolledBack"];

/** Validates the roll-out part of a received datagram. */
export function isRolloutMessage(value: unknown): value is RolloutMessage {
    const { grant, news, report, wanted } = (value ?? {}) as Partial<Record<keyof RolloutMessage, unknown>>;
    return typeof value === "object" && value !== null
        && (report === undefined || isReport(report))
        && (grant === undefined || isGrant(grant))
        && (wanted === undefined || isWriteRequest(wanted))
        && (news === undefined || Array.isArray(news) && news.every(isDecision));
}

function isReport(value: unknown): boolean {
    if (!Array.isArray(value) || value.length !== 9) {
        return false;
    }
    const [id, incarnation, sent, sentToTrial, inProgressOnOtherVersions, cap, knownGrantedTotal, age, cells] =
        value as unknown[];
    return isId(id) && typeof incarnation === "string"
        && [sent, sentToTrial, inProgressOnOtherVersions, cap, age].every(isCount)
        && (knownGrantedTotal === unknownGrantedTotal || isCount(knownGrantedTotal))
        && Array.isArray(cells) && cells.length <= maxReportCells && cells.every(isCell);
}

function isCell(value: unknown): boolean {
    if (!Array.isArray(value) || value.length !== 6) {
        return false;
    }
    const [isTrial, group, route, answers, failures, slownessSum] = value as unknown[];
    return (isTrial === 0 || isTrial === 1) && isCount(group) && Number.isInteger(group) && group < groupCount
        && isCount(route) && isCount(answers) && isCount(failures) && failures <= answers
        && Number.isFinite(slownessSum);
}

function isGrant(value: unknown): boolean {
    if (!Array.isArray(value) || value.length !== 7) {
        return false;
    }
    const [id, stage, ...numbers] = value as unknown[];
    return isId(id) && stages.some(name => name === stage) && numbers.every(isCount);
}

function isWriteRequest(value: unknown): boolean {
    return Array.isArray(value) && value.length === 2 && isId(value[0]) && states.some(state => state === value[1]);
}

function isDecision(value: unknown): boolean {
    if (!Array.isArray(value) || value.length !== 3) {
        return false;
    }
    const [id, decision, reason] = value as unknown[];
    return isId(id) && (decision === "completed" || decision === "rolledBack")
        && typeof reason === "string" && reason.length <= maxReasonLength;
}

function isId(value: unknown): boolean {
    return Array.isArray(value) && value.length === 3 && typeof value[0] === "string" && typeof value[1] === "string"
        && isCount(value[2]);
}

function isCount(value: unknown): value is number {
    return Number.isFinite(value) && (value as number) >= 0;
}
