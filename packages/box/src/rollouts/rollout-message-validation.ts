/**
 * The check in full of what other boxes send about roll-outs.
 *
 * Owns nothing.
 */

import type { RolloutStage, RolloutState } from "@chalkdale/decisions";
import { maxReasonLength, maxReportCells, type RolloutMessage, unknownGrantedTotal } from "./rollout-messages.js";

/** Servers are grouped by hash into so many groups. */
const groupCount = 8;
const states: readonly RolloutState[] = ["running", "completed", "rolledBack"];
const stages: readonly RolloutStage[] = ["watching", "moving", "completed", "rolledBack"];

/** True for a part as boxes send it. */
export function isRolloutMessage(value: unknown): value is RolloutMessage {
    const { grant, news, report, wanted } = (value ?? {}) as Partial<Record<keyof RolloutMessage, unknown>>;
    return typeof value === "object" && value !== null
        && (report === undefined || isReport(report))
        && (grant === undefined || isGrant(grant))
        && (wanted === undefined || isWanted(wanted))
        && (news === undefined || Array.isArray(news) && news.every(isNews));
}

function isReport(value: unknown): boolean {
    if (!Array.isArray(value) || value.length !== 9) {
        return false;
    }
    const [id, incarnation, sent, sentToTrial, inProgressElsewhere, cap, knownTotal, age, cells] = value as unknown[];
    return isId(id) && typeof incarnation === "string"
        && [sent, sentToTrial, inProgressElsewhere, cap, age].every(isCount)
        && (knownTotal === unknownGrantedTotal || isCount(knownTotal))
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
    const [id, stage, ...figures] = value as unknown[];
    return isId(id) && stages.some(name => name === stage) && figures.every(isCount);
}

function isWanted(value: unknown): boolean {
    return Array.isArray(value) && value.length === 2 && isId(value[0]) && states.some(state => state === value[1]);
}

function isNews(value: unknown): boolean {
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
