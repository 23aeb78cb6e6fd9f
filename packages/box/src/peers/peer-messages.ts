/**
 * Datagrams between boxes: heartbeats, how far the sender's copies reach, and
 * changes that a relay passes on. The form is part of the protocol between
 * boxes of different releases.
 *
 * Owns nothing. What arrives is checked in full before it is used.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { incarnationId } from "@chalkdale/kernel";
import { isStateDigest, isStateUpdate, type StateDigest, type StateUpdate } from "../state/state-messages.js";
import { isReportMessage, type ReportMessage } from "./server-reports.js";

/** Largest datagram that is sent to a region and that is read, in bytes: a few fragments of a local network. */
export const largestDatagram = 8192;

/** Heartbeat of one member, short since a datagram has many: box, incarnation, heartbeat, ready, leaving, load. */
export type Beat = readonly [
    box: string,
    incarnation: string,
    heartbeat: number,
    ready: 0 | 1,
    leaving: 0 | 1,
    load: number,
];

/** One datagram. */
export interface PeerMessage {
    /** The sender, in full. */
    readonly from: MemberRecord;
    /** Other members that the sender knows. */
    readonly beats: readonly Beat[];
    readonly digest: StateDigest;
    readonly update?: StateUpdate;
    /** Servers that do badly, for boxes of the sender's region; earlier releases have none. */
    readonly reports?: readonly ReportMessage[];
}

/** Shortens a member to its heartbeat. */
export function beatOf(member: MemberRecord): Beat {
    const { box, heartbeat, incarnation, leaving, load, ready } = member;
    return [box, incarnation, heartbeat, ready ? 1 : 0, leaving ? 1 : 0, load];
}

/** Returns a known member as it is by a newer heartbeat. */
export function applyBeat(member: MemberRecord, beat: Beat): MemberRecord {
    const [, incarnation, heartbeat, ready, leaving, load] = beat;
    const state = { ready: ready === 1, leaving: leaving === 1, load };
    return { ...member, incarnation: incarnationId(incarnation), heartbeat, ...state };
}

/** Reads a datagram, or says why it is none of this protocol. */
export function readMessage(data: Buffer): PeerMessage | MessageFault {
    if (data.length > largestDatagram) {
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
        && isStateDigest(message.digest) && (message.update === undefined || isStateUpdate(message.update))
        && (message.reports === undefined || areReports(message.reports));
}

function isMember(record: MemberRecord | undefined): record is MemberRecord {
    return typeof record?.box === "string" && typeof record.incarnation === "string"
        && typeof record.peerAddress === "string" && typeof record.callerAddress === "string"
        && [record.heartbeat, record.capacity, record.load].every(Number.isFinite);
}

function areReports(reports: unknown): boolean {
    return Array.isArray(reports) && reports.every(isReportMessage);
}

function isBeat(beat: unknown): boolean {
    return Array.isArray(beat) && typeof beat[0] === "string" && typeof beat[1] === "string"
        && beat.slice(2).every(Number.isFinite);
}
