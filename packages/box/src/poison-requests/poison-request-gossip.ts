/**
 * What a box tells others of requests that end servers: to the boxes that collect
 * what is known of one, to all boxes, and in turn with gossip.
 *
 * Owns what is still to be repeated; relies on the records for what is known. Any
 * message may be lost.
 */

import {
    collectorsOf,
    endsSinceLastAnswer,
    type MemberRecord,
    type PoisonRequestRecord,
    type PoisonRequests,
    requiresBroadcast,
} from "@chalkdale/decisions";
import { type BoxId, type Clock, type Milliseconds, milliseconds, type RequestFingerprint } from "@chalkdale/kernel";
import { encodePoisonRequestReport, type PoisonRequestReport } from "./poison-request-messages.js";

export interface PoisonRequestGossipOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly deadly: Pick<PoisonRequests, "find" | "records" | "restriction">;
    /** Boxes that callers are named, this one included if it is. */
    readonly advertised: () => readonly MemberRecord[];
    /** All other boxes that run. */
    readonly recentMembers: () => readonly MemberRecord[];
    readonly send: (box: MemberRecord, reports: readonly PoisonRequestReport[]) => void;
}

/** The news of one box. */
export interface PoisonRequestGossip {
    /** True if this box collects what is known of a request. */
    readonly isCollector: (fingerprint: RequestFingerprint) => boolean;
    /** True if this box makes the trials of a request that is held. */
    readonly makesTrials: (fingerprint: RequestFingerprint) => boolean;
    readonly sendToCollectors: (record: PoisonRequestRecord) => void;
    /** The same, and again in the next rounds. */
    readonly sendToCollectorsRepeatedly: (record: PoisonRequestRecord) => void;
    readonly sendToAll: (record: PoisonRequestRecord) => void;
    /** A request that others may still hold was answered. */
    readonly onCleared: (fingerprint: RequestFingerprint) => void;
    /** What goes with gossip; undefined while there is nothing to tell. */
    readonly gossipPayload: () => readonly PoisonRequestReport[] | undefined;
    /** Due with each round of gossip. */
    readonly onGossipRound: () => void;
}

/**
 * Reports of one datagram of gossip: up to 0.5 KB each, so that they stay below its 8 KB together with 2.6 KB of heartbeats and 1.8 KB of
 * reports on servers; a datagram that is too large would lose these too.
 */
const mostReports = 3;
/** Rounds of gossip in which an end is told again to those who collect it, since a datagram may be lost. */
const repeatedRounds = 3;
/** Milliseconds for which gossip tells of an end: as long as other boxes may take a lost one for running. */
const endNews = 5000;
/** Milliseconds for which gossip says that a request was answered: as long as it may take to reach every box of a fleet. */
const acquittalNews = 10_000;

/** Creates the news of a box that has nothing to tell. */
export function createPoisonRequestGossip(options: PoisonRequestGossipOptions): PoisonRequestGossip {
    const { clock, deadly, self } = options;
    /** Rounds in which the ends under a request are still told again. */
    const toRepeat = new Map<RequestFingerprint, number>();
    /** Until when gossip says of requests that they were answered. */
    const acquittedUntil = new Map<RequestFingerprint, Milliseconds>();
    /** Records that gossip has told so far. */
    let told = 0;

    return {
        isCollector: fingerprint => collectors(fingerprint).some(({ box }) => box === self),
        makesTrials: fingerprint => collectors(fingerprint).at(0)?.box === self,
        sendToCollectors: tellCollectors,
        sendToCollectorsRepeatedly(record) {
            toRepeat.set(record.fingerprint, repeatedRounds);
            tellCollectors(record);
        },
        sendToAll: record => send(options.recentMembers(), record),
        onCleared(fingerprint) {
            acquittedUntil.set(fingerprint, milliseconds(clock() + acquittalNews));
        },
        gossipPayload() {
            const news = deadly.records().filter(isNews);
            if (news.length === 0) {
                return undefined;
            }
            const first = told % news.length;
            told += mostReports;
            const inTurn = [...news.slice(first), ...news.slice(0, first)];
            return inTurn.slice(0, mostReports).map(record => encodePoisonRequestReport(record, clock()));
        },
        onGossipRound() {
            [...toRepeat.keys()].forEach(repeat);
            const now = clock();
            [...acquittedUntil].filter(([, until]) => now >= until).forEach(([known]) => acquittedUntil.delete(known));
        },
    };

    function collectors(fingerprint: RequestFingerprint): readonly MemberRecord[] {
        return collectorsOf(fingerprint, options.advertised());
    }

    function tellCollectors(record: PoisonRequestRecord): void {
        send(collectors(record.fingerprint), record);
    }

    function repeat(fingerprint: RequestFingerprint): void {
        const left = (toRepeat.get(fingerprint) ?? 0) - 1;
        const record = deadly.find(fingerprint);
        if (record !== undefined) {
            tellCollectors(record);
        }
        if (record === undefined || left <= 0) {
            toRepeat.delete(fingerprint);
            return;
        }
        toRepeat.set(fingerprint, left);
    }

    /** What all boxes have to know, and what has just ended: the boxes that collect it may both be lost. */
    function isNews(record: PoisonRequestRecord): boolean {
        const { fingerprint } = record;
        const lastEnd = endsSinceLastAnswer(record).at(-1)?.at ?? -Infinity;
        return acquittedUntil.has(fingerprint) || requiresBroadcast(deadly.restriction(fingerprint))
            || clock() - lastEnd < endNews;
    }

    function send(boxes: readonly MemberRecord[], record: PoisonRequestRecord): void {
        const reports = [encodePoisonRequestReport(record, clock())];
        boxes.filter(({ box }) => box !== self).forEach(box => options.send(box, reports));
    }
}
