/**
 * Datagrams between boxes: heartbeats, how far the sender's copies reach, and
 * changes that a relay passes on. The form is part of the protocol between
 * boxes of different releases.
 *
 * Owns nothing. What arrives is checked in full before it is used.
 */

import type { MemberRecord, MemberStatus } from "@chalkdale/decisions";
import { incarnationId, type RegionId } from "@chalkdale/kernel";
import { arePoisonRequestReports, type PoisonRequestReport } from "../poison-requests/poison-request-messages.js";
import { isQuotaMessage, type QuotaMessage } from "../quotas/quota-messages.js";
import { isRolloutMessage } from "../rollouts/rollout-message-validation.js";
import type { RolloutMessage } from "../rollouts/rollout-messages.js";
import { areLimitReports, type LimitReport } from "../servers/limit-messages.js";
import { isStateDigest, isStateUpdate, type StateDigest, type StateUpdate } from "../state/state-messages.js";
import { isOutlierReportMessage, type OutlierReportMessage } from "./outlier-gossip.js";

/** Largest datagram that is sent to a region and that is read, in bytes: a few fragments of a local network. */
export const maxDatagramBytes = 8192;

/** What is told of one member, short since a datagram has many. Ages in milliseconds, see `MemberStatus`; the last is left out. */
export type MemberHeartbeat = readonly [
    box: string,
    incarnation: string,
    heartbeat: number,
    ready: 0 | 1,
    leaving: 0 | 1,
    load: number,
    heardAgo?: number,
    suspectedFor?: number,
];

/** One datagram. */
export interface PeerMessage {
    /** The sender, in full. */
    readonly from: MemberRecord;
    /** Other members that the sender knows. */
    readonly beats: readonly MemberHeartbeat[];
    /** Missing in messages about roll-outs, of which there are several a second. */
    readonly digest?: StateDigest;
    /** True if the sender wants an answer, as a sign of life. */
    readonly asks?: boolean;
    /** Milliseconds since anyone heard from a box of each region. */
    readonly regions?: Readonly<Record<RegionId, number>>;
    readonly update?: StateUpdate;
    /** Reports and leases of customers' quotas. */
    readonly quota?: QuotaMessage;
    /** Reports, grants and news of roll-outs; earlier releases, and deployments without them, have none. */
    readonly rollout?: RolloutMessage;
    /** Requests that end servers; earlier releases have none. */
    readonly deadly?: readonly PoisonRequestReport[];
    /** Limits that servers name; earlier releases have none. */
    readonly limits?: readonly LimitReport[];
    /** Servers that do badly, for boxes of the sender's region; earlier releases have none. */
    readonly reports?: readonly OutlierReportMessage[];
}

/** Shortens what is known of a member. */
export function encodeHeartbeat({ heardAgo, record, suspectedFor }: MemberStatus): MemberHeartbeat {
    const { box, heartbeat, incarnation, leaving, load, ready } = record;
    const beat = [box, incarnation, heartbeat, ready ? 1 : 0, leaving ? 1 : 0, load, Math.round(heardAgo)] as const;
    return suspectedFor === undefined ? beat : [...beat, Math.round(suspectedFor)];
}

/** Returns what a beat tells of a member that is known in full. */
export function decodeHeartbeat(member: MemberRecord, beat: MemberHeartbeat): MemberStatus {
    const [, incarnation, heartbeat, ready, leaving, load, heardAgo = 0, suspectedFor] = beat;
    const state = { ready: ready === 1, leaving: leaving === 1, load };
    const record = { ...member, incarnation: incarnationId(incarnation), heartbeat, ...state };
    return { record, heardAgo, suspectedFor };
}

/** Reads a datagram, or says why it is none of this protocol. */
export function readMessage(data: Buffer): PeerMessage | MessageFault {
    if (data.length > maxDatagramBytes) {
        return { fault: "too large" };
    }
    let message: PeerMessage;
    try {
        message = JSON.parse(data.toString("utf8")) as PeerMessage;
    }
    catch (error) {
        return { fault: String(error) };
    }
    return isWhole(message) ? message : { fault: "parts are missing or of another type" };
}

/** Why a datagram can't be used. */
export interface MessageFault {
    readonly fault: string;
}

function isWhole(message: PeerMessage): boolean {
    return typeof message === "object" && message !== null
        && isMember(message.from) && Array.isArray(message.beats) && message.beats.every(isBeat)
        && (message.digest === undefined ? message.rollout !== undefined : isStateDigest(message.digest))
        && (message.update === undefined || isStateUpdate(message.update))
        && (message.reports === undefined || areReports(message.reports))
        && (message.deadly === undefined || arePoisonRequestReports(message.deadly))
        && (message.limits === undefined || areLimitReports(message.limits))
        && (message.quota === undefined || isQuotaMessage(message.quota))
        && (message.rollout === undefined || isRolloutMessage(message.rollout))
        && (message.regions === undefined || areAges(message.regions));
}

function areAges(ages: unknown): boolean {
    return typeof ages === "object" && ages !== null && Object.values(ages).every(Number.isFinite);
}

function isMember(record: MemberRecord | undefined): record is MemberRecord {
    return typeof record?.box === "string" && typeof record.incarnation === "string"
        && typeof record.region === "string" && typeof record.zone === "string"
        && typeof record.peerAddress === "string" && typeof record.callerAddress === "string"
        && [record.heartbeat, record.capacity, record.load].every(Number.isFinite);
}

function areReports(reports: unknown): boolean {
    return Array.isArray(reports) && reports.every(isOutlierReportMessage);
}

function isBeat(beat: unknown): boolean {
    return Array.isArray(beat) && typeof beat[0] === "string" && typeof beat[1] === "string"
        && beat.slice(2).every(Number.isFinite);
}
