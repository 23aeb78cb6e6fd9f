/**
 * Reports, grants and news of roll-outs as boxes send them: short, since a
 * report has many figures and goes out several times a second.
 *
 * Owns nothing; what arrives is checked in full before it is used.
 */

import type {
    EvidenceCell,
    RolloutDecision,
    RolloutGrant,
    RolloutId,
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
export type WriteRequestEntry = readonly [id: IdEntry, state: RolloutState];
type NewsEntry = readonly [id: IdEntry, decision: RolloutDecision["decision"], reason: string];

/** The part of a datagram that is about roll-outs. */
export interface RolloutMessage {
    /** For the deciding box of the service. */
    readonly report?: ReportEntry;
    /** Its answer. */
    readonly grant?: GrantEntry;
    /** A state that the deciding box can't write, and the one that gets this may. */
    readonly wanted?: WriteRequestEntry;
    /** Decisions, from whoever knows them. */
    readonly news?: readonly NewsEntry[];
}

/** Cells of one report at most, those with the most answers: some 40 bytes each, with the sender's record below 8 KB. */
export const maxReportCells = 150;
/** Characters of the reason of a decision at most; it is for the logs. */
export const maxReasonLength = 300;
/** Stands for a sum that is not known. */
export const unknownGrantedTotal = -1;

/** Shortens a report. */
export function encodeReport(report: RolloutReport): ReportEntry {
    const {
        age,
        cap,
        cells,
        incarnation,
        inProgressOnOtherVersions: inProgressElsewhere,
        knownGrantedTotal: knownTotal,
        rollout,
        sent,
        sentToTrial,
    } = report;
    const told = cells.length <= maxReportCells
        ? cells
        : [...cells].sort((a, b) => b.answers - a.answers).slice(0, maxReportCells);
    return [
        idEntry(rollout),
        incarnation,
        sent,
        sentToTrial,
        inProgressElsewhere,
        cap,
        knownTotal ?? unknownGrantedTotal,
        Math.round(age),
        told.map(cellEntry),
    ];
}

/** Shortens a grant. */
export function encodeGrant(
    { age, cap, rollout, sampledServerCount: sampledServers, share, stage, grantedTotal: total }: RolloutGrant,
): GrantEntry {
    return [idEntry(rollout), stage, cap, round(share), sampledServers, total, Math.round(age)];
}

/** Shortens the wish that another box writes a state. */
export function encodeWriteRequest(rollout: RolloutId, state: RolloutState): WriteRequestEntry {
    return [idEntry(rollout), state];
}

/** Returns the wish of an entry. */
export function decodeWriteRequest(
    [id, state]: WriteRequestEntry,
): { readonly rollout: RolloutId; readonly state: RolloutState; } {
    return { rollout: readId(id), state };
}

/** Shortens news. */
export function encodeDecision({ decision, reason, rollout }: RolloutDecision): NewsEntry {
    return [idEntry(rollout), decision, reason.slice(0, maxReasonLength)];
}

/** Returns the report of an entry. */
export function decodeReport(entry: ReportEntry): RolloutReport {
    const [id, incarnation, sent, sentToTrial, inProgressElsewhere, cap, knownTotal, age, cells] = entry;
    return {
        rollout: readId(id),
        incarnation: incarnationId(incarnation),
        sent,
        sentToTrial,
        inProgressOnOtherVersions: inProgressElsewhere,
        cap,
        knownGrantedTotal: knownTotal === unknownGrantedTotal ? undefined : knownTotal,
        age: milliseconds(age),
        cells: cells.map(readCell),
    };
}

/** Returns the grant of an entry. */
export function decodeGrant([id, stage, cap, share, sampledServers, total, age]: GrantEntry): RolloutGrant {
    return {
        rollout: readId(id),
        stage,
        cap,
        share,
        sampledServerCount: sampledServers,
        grantedTotal: total,
        age: milliseconds(age),
    };
}

/** Returns the news of an entry. */
export function decodeDecision([id, decision, reason]: NewsEntry): RolloutDecision {
    return { rollout: readId(id), decision, reason };
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

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}
