/**
 * What a box sends to others about suspected poison requests: directly to the boxes
 * that collect what is known of a request, directly to all boxes, and in rotation with
 * gossip.
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
    /** The records of this box. */
    readonly poisonRequests: Pick<PoisonRequests, "find" | "records" | "restriction">;
    /** Boxes that are advertised to callers, this one included if it is. */
    readonly advertised: () => readonly MemberRecord[];
    /** All other boxes to which messages may be sent. */
    readonly recentMembers: () => readonly MemberRecord[];
    readonly send: (box: MemberRecord, reports: readonly PoisonRequestReport[]) => void;
}

/** Sends the reports of one box. */
export interface PoisonRequestGossip {
    /** True if this box collects what is known of a request. */
    readonly isCollector: (fingerprint: RequestFingerprint) => boolean;
    /** True if this box makes the trials of a request that is held. */
    readonly makesTrials: (fingerprint: RequestFingerprint) => boolean;
    /** Sends a record to the boxes that collect what is known of its request. */
    readonly sendToCollectors: (record: PoisonRequestRecord) => void;
    /** The same, repeated in the next gossip rounds. */
    readonly sendToCollectorsRepeatedly: (record: PoisonRequestRecord) => void;
    readonly sendToAll: (record: PoisonRequestRecord) => void;
    /** A request that other boxes may still restrict was answered. */
    readonly onCleared: (fingerprint: RequestFingerprint) => void;
    /** Returns the reports for the next gossip message; undefined if there are none. */
    readonly gossipPayload: () => readonly PoisonRequestReport[] | undefined;
    /** To be called in each gossip round. */
    readonly onGossipRound: () => void;
}

/**
 * Maximum number of reports in one gossip datagram. A report takes up to 0.5 KB; together with 2.6 KB of heartbeats and
 * 1.8 KB of reports on servers they stay below the 8 KB of a datagram. A datagram that is too large is lost, with the
 * heartbeats and the reports on servers.
 */
const maxReports = 3;
/** Number of gossip rounds in which a termination is sent again to its collectors, since a datagram may be lost. */
const repeatedRounds = 3;
/** Milliseconds for which gossip contains a termination: as long as other boxes may regard a lost box as alive. */
const terminationGossipTime = 5000;
/**
 * Milliseconds for which gossip contains that a request was cleared: as long as it may take to reach every box of a
 * fleet.
 */
const clearedGossipTime = 10_000;

/** Creates the sender of a box that has nothing to repeat. */
export function createPoisonRequestGossip(options: PoisonRequestGossipOptions): PoisonRequestGossip {
    const { clock, poisonRequests, self } = options;
    /** Number of rounds in which the terminations of each request are still to be repeated. */
    const repeatsLeft = new Map<RequestFingerprint, number>();
    /** Until when gossip contains that each request was cleared. */
    const clearedUntil = new Map<RequestFingerprint, Milliseconds>();
    /** Advances by `maxReports` with each gossip message, so that the records take turns. */
    let gossipedCount = 0;

    return {
        isCollector: fingerprint => collectors(fingerprint).some(({ box }) => box === self),
        makesTrials: fingerprint => collectors(fingerprint).at(0)?.box === self,
        sendToCollectors,
        sendToCollectorsRepeatedly(record) {
            repeatsLeft.set(record.fingerprint, repeatedRounds);
            sendToCollectors(record);
        },
        sendToAll: record => sendTo(options.recentMembers(), record),
        onCleared(fingerprint) {
            clearedUntil.set(fingerprint, milliseconds(clock() + clearedGossipTime));
        },
        gossipPayload() {
            const gossiped = poisonRequests.records().filter(isGossiped);
            if (gossiped.length === 0) {
                return undefined;
            }
            const first = gossipedCount % gossiped.length;
            gossipedCount += maxReports;
            const inTurn = [...gossiped.slice(first), ...gossiped.slice(0, first)];
            return inTurn.slice(0, maxReports).map(record => encodePoisonRequestReport(record, clock()));
        },
        onGossipRound() {
            [...repeatsLeft.keys()].forEach(repeat);
            const now = clock();
            [...clearedUntil].filter(([, until]) => now >= until).forEach(([cleared]) => clearedUntil.delete(cleared));
        },
    };

    function collectors(fingerprint: RequestFingerprint): readonly MemberRecord[] {
        return collectorsOf(fingerprint, options.advertised());
    }

    function sendToCollectors(record: PoisonRequestRecord): void {
        sendTo(collectors(record.fingerprint), record);
    }

    function repeat(fingerprint: RequestFingerprint): void {
        const roundsLeft = (repeatsLeft.get(fingerprint) ?? 0) - 1;
        const record = poisonRequests.find(fingerprint);
        if (record !== undefined) {
            sendToCollectors(record);
        }
        if (record === undefined || roundsLeft <= 0) {
            repeatsLeft.delete(fingerprint);
            return;
        }
        repeatsLeft.set(fingerprint, roundsLeft);
    }

    /**
     * True for requests that all boxes have to restrict or that were cleared, and for recent terminations, since both
     * collectors may be lost.
     */
    function isGossiped(record: PoisonRequestRecord): boolean {
        const { fingerprint } = record;
        const lastTerminatedAt = endsSinceLastAnswer(record).at(-1)?.at ?? -Infinity;
        return clearedUntil.has(fingerprint) || requiresBroadcast(poisonRequests.restriction(fingerprint))
            || clock() - lastTerminatedAt < terminationGossipTime;
    }

    function sendTo(boxes: readonly MemberRecord[], record: PoisonRequestRecord): void {
        const reports = [encodePoisonRequestReport(record, clock())];
        boxes.filter(({ box }) => box !== self).forEach(box => options.send(box, reports));
    }
}
