/**
 * Encodes reports, grants, write requests and decisions of roll-outs for messages
 * between boxes: as short tuples, since a report has many figures and is sent
 * several times a second.
 *
 * Owns no state; received messages are validated in full before they are used.
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
    inProgressOnOtherVersions: number,
    cap: number,
    /** -1 before the first grant. */
    knownGrantedTotal: number,
    age: number,
    cells: readonly CellEntry[],
];
type GrantEntry = readonly [
    id: IdEntry,
    stage: RolloutStage,
    cap: number,
    share: number,
    sampledServerCount: number,
    grantedTotal: number,
    age: number,
];
/** A write request as sent: the order, and the state to write. */
export type WriteRequestEntry = readonly [id: IdEntry, state: RolloutState];
type DecisionEntry = readonly [id: IdEntry, decision: RolloutDecision["decision"], reason: string];

/** The roll-out part of a datagram between boxes. */
export interface RolloutMessage {
    /** Sent to the deciding box of the service. */
    readonly report?: ReportEntry;
    /** Sent by the deciding box in answer to a report, or after a change of stage. */
    readonly grant?: GrantEntry;
    /** A state that the deciding box can't write and asks the receiver to write. */
    readonly wanted?: WriteRequestEntry;
    /** Decisions, sent by any box that knows them. */
    readonly news?: readonly DecisionEntry[];
}

/** Maximum cells of a report, those with the most answers: about 40 bytes each, with the sender's record below 8 KB. */
export const maxReportCells = 150;
/** Maximum characters of a decision's reason, which is only logged and shown in metrics. */
export const maxReasonLength = 300;
/** Stands for a granted total that is not known. */
export const unknownGrantedTotal = -1;

/** Encodes a report. */
export function encodeReport(report: RolloutReport): ReportEntry {
    const {
        age,
        cap,
        cells,
        incarnation,
        inProgressOnOtherVersions,
        knownGrantedTotal,
        rollout,
        sent,
        sentToTrial,
    } = report;
    const sentCells = cells.length <= maxReportCells
        ? cells
        : [...cells].sort((a, b) => b.answers - a.answers).slice(0, maxReportCells);
    return [
        encodeId(rollout),
        incarnation,
        sent,
        sentToTrial,
        inProgressOnOtherVersions,
        cap,
        knownGrantedTotal ?? unknownGrantedTotal,
        Math.round(age),
        sentCells.map(encodeCell),
    ];
}

/** Encodes a grant. */
export function encodeGrant(
    { age, cap, rollout, sampledServerCount, share, stage, grantedTotal }: RolloutGrant,
): GrantEntry {
    return [encodeId(rollout), stage, cap, round(share), sampledServerCount, grantedTotal, Math.round(age)];
}

/** Encodes a request to another box to write a state. */
export function encodeWriteRequest(rollout: RolloutId, state: RolloutState): WriteRequestEntry {
    return [encodeId(rollout), state];
}

/** Decodes a write request. */
export function decodeWriteRequest(
    [id, state]: WriteRequestEntry,
): { readonly rollout: RolloutId; readonly state: RolloutState; } {
    return { rollout: decodeId(id), state };
}

/** Encodes a decision, with its reason cut to the maximum length. */
export function encodeDecision({ decision, reason, rollout }: RolloutDecision): DecisionEntry {
    return [encodeId(rollout), decision, reason.slice(0, maxReasonLength)];
}

/** Decodes a report. */
export function decodeReport(entry: ReportEntry): RolloutReport {
    const [id, incarnation, sent, sentToTrial, inProgressOnOtherVersions, cap, knownGrantedTotal, age, cells] = entry;
    return {
        rollout: decodeId(id),
        incarnation: incarnationId(incarnation),
        sent,
        sentToTrial,
        inProgressOnOtherVersions,
        cap,
        knownGrantedTotal: knownGrantedTotal === unknownGrantedTotal ? undefined : knownGrantedTotal,
        age: milliseconds(age),
        cells: cells.map(decodeCell),
    };
}

/** Decodes a grant. */
export function decodeGrant([id, stage, cap, share, sampledServerCount, grantedTotal, age]: GrantEntry): RolloutGrant {
    return {
        rollout: decodeId(id),
        stage,
        cap,
        share,
        sampledServerCount,
        grantedTotal,
        age: milliseconds(age),
    };
}

/** Decodes a decision. */
export function decodeDecision([id, decision, reason]: DecisionEntry): RolloutDecision {
    return { rollout: decodeId(id), decision, reason };
}

function encodeId({ createdAt, service, targetVersion }: RolloutId): IdEntry {
    return [service, targetVersion, createdAt];
}

function decodeId([service, targetVersion, createdAt]: IdEntry): RolloutId {
    return { service: serviceId(service), targetVersion: serverVersion(targetVersion), createdAt };
}

function encodeCell({ answers, failures, group, isTrial, route, slownessSum }: EvidenceCell): CellEntry {
    return [isTrial ? 1 : 0, group, route, answers, failures, round(slownessSum)];
}

function decodeCell([isTrial, group, route, answers, failures, slownessSum]: CellEntry): EvidenceCell {
    return { isTrial: isTrial === 1, group, route, answers, failures, slownessSum };
}

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}
