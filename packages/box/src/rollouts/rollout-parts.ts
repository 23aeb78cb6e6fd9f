/**
 * Reports, grants and news of roll-outs as boxes send them: short, since a
 * report has many figures and goes out several times a second.
 *
 * Owns nothing; what arrives is checked in full before it is used.
 */

import type {
    EvidenceCell,
    RolloutGrant,
    RolloutId,
    RolloutNews,
    RolloutReport,
    RolloutStage,
    RolloutState,
} from "@chalkdale/decisions";
import { incarnationId, milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";

type IdEntry = readonly [service: string, targetVersion: string, createdAt: number];
type CellEntry = readonly [
    isTrial: 0 | 1,
    group: number,
    route: number,
    answers: number,
    failures: number,
    slownessSum: number,
];
type ReportEntry = readonly [
    id: IdEntry,
    incarnation: string,
    sent: number,
    sentToTrial: number,
    inProgressElsewhere: number,
    cap: number,
    /** -1 before the first grant. */
    knownTotal: number,
    age: number,
    cells: readonly CellEntry[],
];
type GrantEntry = readonly [
    id: IdEntry,
    stage: RolloutStage,
    cap: number,
    share: number,
    sampledServers: number,
    total: number,
    age: number,
];
export type WantedEntry = readonly [id: IdEntry, state: RolloutState];
type NewsEntry = readonly [id: IdEntry, decision: RolloutNews["decision"], reason: string];

/** The part of a datagram that is about roll-outs. */
export interface RolloutMessage {
    /** For the deciding box of the service. */
    readonly report?: ReportEntry;
    /** Its answer. */
    readonly grant?: GrantEntry;
    /** A state that the deciding box can't write, and the one that gets this may. */
    readonly wanted?: WantedEntry;
    /** Decisions, from whoever knows them. */
    readonly news?: readonly NewsEntry[];
}

/** Cells of one report at most, those with the most answers: some 40 bytes each, with the sender's record below 8 KB. */
export const mostCells = 150;
/** Characters of the reason of a decision at most; it is for the logs. */
const longestReason = 300;
/** Servers are grouped by hash into so many groups. */
const groupCount = 8;
/** Stands for a sum that is not known. */
const unknownTotal = -1;
const states: readonly RolloutState[] = ["running", "completed", "rolledBack"];
const stages: readonly RolloutStage[] = ["watching", "moving", "completed", "rolledBack"];

/** Shortens a report. */
export function reportEntry(report: RolloutReport): ReportEntry {
    const { age, cap, cells, incarnation, inProgressElsewhere, knownTotal, rollout, sent, sentToTrial } = report;
    const told = cells.length <= mostCells
        ? cells
        : [...cells].sort((a, b) => b.answers - a.answers).slice(0, mostCells);
    return [
        idEntry(rollout),
        incarnation,
        sent,
        sentToTrial,
        inProgressElsewhere,
        cap,
        knownTotal ?? unknownTotal,
        Math.round(age),
        told.map(cellEntry),
    ];
}

/** Shortens a grant. */
export function grantEntry({ age, cap, rollout, sampledServers, share, stage, total }: RolloutGrant): GrantEntry {
    return [idEntry(rollout), stage, cap, round(share), sampledServers, total, Math.round(age)];
}

/** Shortens the wish that another box writes a state. */
export function wantedEntry(rollout: RolloutId, state: RolloutState): WantedEntry {
    return [idEntry(rollout), state];
}

/** Returns the wish of an entry. */
export function readWanted([id, state]: WantedEntry): { readonly rollout: RolloutId; readonly state: RolloutState; } {
    return { rollout: readId(id), state };
}

/** Shortens news. */
export function newsEntry({ decision, reason, rollout }: RolloutNews): NewsEntry {
    return [idEntry(rollout), decision, reason.slice(0, longestReason)];
}

/** Returns the report of an entry. */
export function readReport(entry: ReportEntry): RolloutReport {
    const [id, incarnation, sent, sentToTrial, inProgressElsewhere, cap, knownTotal, age, cells] = entry;
    return {
        rollout: readId(id),
        incarnation: incarnationId(incarnation),
        sent,
        sentToTrial,
        inProgressElsewhere,
        cap,
        knownTotal: knownTotal === unknownTotal ? undefined : knownTotal,
        age: milliseconds(age),
        cells: cells.map(readCell),
    };
}

/** Returns the grant of an entry. */
export function readGrant([id, stage, cap, share, sampledServers, total, age]: GrantEntry): RolloutGrant {
    return { rollout: readId(id), stage, cap, share, sampledServers, total, age: milliseconds(age) };
}

/** Returns the news of an entry. */
export function readNews([id, decision, reason]: NewsEntry): RolloutNews {
    return { rollout: readId(id), decision, reason };
}

/** True for a part as boxes send it. */
export function isRolloutMessage(value: unknown): value is RolloutMessage {
    const { grant, news, report, wanted } = (value ?? {}) as Partial<Record<keyof RolloutMessage, unknown>>;
    return typeof value === "object" && value !== null
        && (report === undefined || isReport(report))
        && (grant === undefined || isGrant(grant))
        && (wanted === undefined || isWanted(wanted))
        && (news === undefined || Array.isArray(news) && news.every(isNews));
}

function idEntry({ createdAt, service, targetVersion }: RolloutId): IdEntry {
    return [service, targetVersion, createdAt];
}

function readId([service, targetVersion, createdAt]: IdEntry): RolloutId {
    return { service: serviceId(service), targetVersion: serverVersion(targetVersion), createdAt };
}

function cellEntry({ answers, failures, group, isTrial, route, slownessSum }: EvidenceCell): CellEntry {
    return [isTrial ? 1 : 0, group, route, answers, failures, round(slownessSum)];
}

function readCell([isTrial, group, route, answers, failures, slownessSum]: CellEntry): EvidenceCell {
    return { isTrial: isTrial === 1, group, route, answers, failures, slownessSum };
}

function isReport(value: unknown): boolean {
    if (!Array.isArray(value) || value.length !== 9) {
        return false;
    }
    const [id, incarnation, sent, sentToTrial, inProgressElsewhere, cap, knownTotal, age, cells] = value as unknown[];
    return isId(id) && typeof incarnation === "string"
        && [sent, sentToTrial, inProgressElsewhere, cap, age].every(isCount)
        && (knownTotal === unknownTotal || isCount(knownTotal))
        && Array.isArray(cells) && cells.length <= mostCells && cells.every(isCell);
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
        && typeof reason === "string" && reason.length <= longestReason;
}

function isId(value: unknown): boolean {
    return Array.isArray(value) && value.length === 3 && typeof value[0] === "string" && typeof value[1] === "string"
        && isCount(value[2]);
}

function isCount(value: unknown): value is number {
    return Number.isFinite(value) && (value as number) >= 0;
}

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}
