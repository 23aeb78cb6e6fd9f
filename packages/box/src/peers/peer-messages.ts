/**
 * Datagrams between boxes: heartbeats, the digest of the sender's replicas, changes that a relay sends, and other
 * parts. Their format is a protocol between boxes of different releases.
 *
 * Owns nothing. Received datagrams are validated in full before use.
 */

import type { MemberRecord, MemberStatus } from "@chalkdale/decisions";
import { incarnationId, type RegionId } from "@chalkdale/kernel";
import { arePoisonRequestReports, type PoisonRequestReport } from "../poison-requests/poison-request-messages.js";
import { isQuotaMessage, type QuotaMessage } from "../quotas/quota-messages.js";
import { isRolloutMessage } from "../rollouts/rollout-message-validation.js";
import type { RolloutMessage } from "../rollouts/rollout-messages.js";
import { areColdReports, type ColdReport } from "../servers/cold-messages.js";
import { areLimitReports, type LimitReport } from "../servers/limit-messages.js";
import { isStateDigest, isStateUpdate, type StateDigest, type StateUpdate } from "../state/state-messages.js";
import { isMemberRecord } from "./member-record-validation.js";
import { isOutlierReportMessage, type OutlierReportMessage } from "./outlier-gossip.js";

/**
 * Maximum size, in bytes, of an update sent to a region and of a datagram that is accepted: a few fragments in a local
 * network. A larger update is replaced by a digest, and a larger datagram is discarded.
 */
export const maxDatagramBytes = 8192;

/**
 * Heartbeat and state of one member, kept short since a datagram has many. Ages are in milliseconds, see
 * `MemberStatus`; `suspectedFor` is left out for a member that isn't suspected.
 */
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
    /** The sender's whole record. */
    readonly from: MemberRecord;
    /** Heartbeats of other members that the sender knows of. */
    readonly beats: readonly MemberHeartbeat[];
    /**
     * How far the sender's replicas reach. Left out of messages about roll-outs, of which there are several a second.
     */
    readonly digest?: StateDigest;
    /** True for a probe: the sender expects an answer. */
    readonly asks?: boolean;
    /** Milliseconds since any box last heard from a box of each region. */
    readonly regions?: Readonly<Record<RegionId, number>>;
    /** Changes of shared state that a relay sends. */
    readonly update?: StateUpdate;
    /** Reports and leases of customers' quotas. */
    readonly quota?: QuotaMessage;
    /**
     * Reports, grants and decisions of roll-outs; not sent by earlier releases and by deployments without roll-outs.
     */
    readonly rollout?: RolloutMessage;
    /** Reports of poison requests; earlier releases send none. */
    readonly deadly?: readonly PoisonRequestReport[];
    /** Rate limits that servers announce; earlier releases send none. */
    readonly limits?: readonly LimitReport[];
    /** Servers that a health check has found to be cold; earlier releases send none. */
    readonly cold?: readonly ColdReport[];
    /** Reports about outlier servers, to boxes of the sender's region only; earlier releases send none. */
    readonly reports?: readonly OutlierReportMessage[];
}

/** Encodes the status of a member. */
export function encodeHeartbeat({ heardAgo, record, suspectedFor }: MemberStatus): MemberHeartbeat {
    const { box, heartbeat, incarnation, leaving, load, ready } = record;
    const encoded = [box, incarnation, heartbeat, ready ? 1 : 0, leaving ? 1 : 0, load, Math.round(heardAgo)] as const;
    return suspectedFor === undefined ? encoded : [...encoded, Math.round(suspectedFor)];
}

/** Decodes the heartbeat of a member whose record is known. */
export function decodeHeartbeat(member: MemberRecord, encoded: MemberHeartbeat): MemberStatus {
    const [, incarnation, heartbeat, ready, leaving, load, heardAgo = 0, suspectedFor] = encoded;
    const state = { ready: ready === 1, leaving: leaving === 1, load };
    const record = { ...member, incarnation: incarnationId(incarnation), heartbeat, ...state };
    return { record, heardAgo, suspectedFor };
}

/** Decodes and validates a datagram; returns the reason if it is invalid. */
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
    return isValidMessage(message) ? message : { fault: "a part is missing or has the wrong type" };
}

/** Why a datagram is invalid. */
export interface MessageFault {
    readonly fault: string;
}

function isValidMessage(message: PeerMessage): boolean {
    return typeof message === "object" && message !== null
        && isMemberRecord(message.from) && Array.isArray(message.beats) && message.beats.every(isHeartbeat)
        && (message.digest === undefined ? message.rollout !== undefined : isStateDigest(message.digest))
        && (message.update === undefined || isStateUpdate(message.update))
        && (message.reports === undefined || areOutlierReports(message.reports))
        && (message.deadly === undefined || arePoisonRequestReports(message.deadly))
        && (message.limits === undefined || areLimitReports(message.limits))
        && (message.cold === undefined || areColdReports(message.cold))
        && (message.quota === undefined || isQuotaMessage(message.quota))
        && (message.rollout === undefined || isRolloutMessage(message.rollout))
        && (message.regions === undefined || areRegionAges(message.regions));
}

function areRegionAges(ages: unknown): boolean {
    return typeof ages === "object" && ages !== null && Object.values(ages).every(Number.isFinite);
}

function areOutlierReports(reports: unknown): boolean {
    return Array.isArray(reports) && reports.every(isOutlierReportMessage);
}

function isHeartbeat(encoded: unknown): boolean {
    return Array.isArray(encoded) && typeof encoded[0] === "string" && typeof encoded[1] === "string"
        && encoded.slice(2).every(Number.isFinite);
}
