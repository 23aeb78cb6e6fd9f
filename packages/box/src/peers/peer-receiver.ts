/**
 * Handles datagrams of other boxes: heartbeats, digests, updates, reports about servers and requests, and messages
 * about quotas and roll-outs. Invalid ones are logged and dropped.
 *
 * Owns only the state of its reads of members; keeps the membership up to date, and passes everything else to its
 * handlers.
 */

import type { MemberRecord, Membership, MemberStatus } from "@chalkdale/decisions";
import { boxId, type Clock, type RegionId, regionId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { PoisonRequestReport } from "../poison-requests/poison-request-messages.js";
import type { QuotaMessage } from "../quotas/quota-messages.js";
import type { RolloutMessage } from "../rollouts/rollout-messages.js";
import type { ColdReport } from "../servers/cold-messages.js";
import type { LimitReport } from "../servers/limit-messages.js";
import type { StateDigest, StateUpdate } from "../state/state-messages.js";
import type { StatePeer } from "../state/state-reader.js";
import type { OutlierReportMessage } from "./outlier-gossip.js";
import { decodeHeartbeat, type MemberHeartbeat, type PeerMessage, readMessage } from "./peer-messages.js";

/** What the receiver depends on, and the handlers of the parts of a message. */
export interface PeerReceiverOptions {
    readonly clock: Clock;
    readonly log: Log;
    /** Region of this box. */
    readonly region: RegionId;
    readonly membership: Membership;
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    readonly onUpdate: (update: StateUpdate) => void;
    readonly onOutlierReports: (reports: readonly OutlierReportMessage[]) => void;
    readonly onPoisonRequestReports: (reports: readonly PoisonRequestReport[]) => void;
    readonly onLimits: (reports: readonly LimitReport[]) => void;
    readonly onColdReports: (reports: readonly ColdReport[]) => void;
    readonly onQuota: (from: MemberRecord, message: QuotaMessage) => void;
    readonly onRollout: (from: MemberRecord, message: RolloutMessage) => void;
    /** Answers a probe, or a box that wasn't known before. */
    readonly replyTo: (peer: MemberRecord) => void;
    /** Reads all members that another box knows of. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberStatus[]>;
}

/**
 * Minimum pause in milliseconds after a read of members before the next one from a box of the same region: a round of
 * gossip, in which updates spread anyway. Without a pause, each box of a fleet that is starting would read the members
 * over and over.
 */
const membersReadPause = 300;
/** The same for a box of another region: traffic between regions is expensive. */
const otherRegionMembersReadPause = 2000;

/** Creates the handler of received datagrams, which never throws. */
export function createPeerReceiver(options: PeerReceiverOptions): (data: Buffer) => void {
    const { clock, log, membership } = options;
    let membersReadAt = -Infinity;
    let isReadingMembers = false;

    return function onDatagram(data) {
        try {
            const message = readMessage(data);
            if ("fault" in message) {
                log.info("peer.unreadable", { bytes: data.length, reason: message.fault });
                return;
            }
            onMessage(message);
        }
        catch (error) {
            log.warn("peer.faultyMessage", { bytes: data.length, reason: String(error) });
        }
    };

    function onMessage(message: PeerMessage): void {
        const { from } = message;
        const isUnknown = membership.onHeard(from, clock());
        if (mergeHeartbeats(message.beats)) {
            void readMembersIfDue(from);
        }
        if (message.regions !== undefined) {
            membership.mergeRegionAges(new Map(Object.entries(message.regions).map(decodeRegionAge)), clock());
        }
        if (isUnknown) {
            log.info("peer.joined", { box: from.box, zone: from.zone, incarnation: from.incarnation });
        }
        if (isUnknown || message.asks === true) {
            options.replyTo(from);
        }
        if (message.update !== undefined) {
            options.onUpdate(message.update);
        }
        if (message.reports !== undefined) {
            options.onOutlierReports(message.reports);
        }
        if (message.deadly !== undefined) {
            options.onPoisonRequestReports(message.deadly);
        }
        if (message.limits !== undefined) {
            options.onLimits(message.limits);
        }
        if (message.cold !== undefined) {
            options.onColdReports(message.cold);
        }
        if (message.quota !== undefined) {
            options.onQuota(message.from, message.quota);
        }
        if (message.rollout !== undefined) {
            options.onRollout(message.from, message.rollout);
        }
        if (message.digest !== undefined) {
            options.onDigest(message.from, message.digest);
        }
    }

    /** Merges the heartbeats of members whose records are known; returns true if some records aren't. */
    function mergeHeartbeats(heartbeats: readonly MemberHeartbeat[]): boolean {
        const statuses: MemberStatus[] = [];
        for (const heartbeat of heartbeats) {
            const member = membership.find(boxId(heartbeat[0]));
            if (member !== undefined) {
                statuses.push(decodeHeartbeat(member, heartbeat));
            }
        }
        membership.merge(statuses, clock());
        return statuses.length < heartbeats.length;
    }

    /** Only one read at a time, as another box would return the same members. */
    async function readMembersIfDue(peer: StatePeer): Promise<void> {
        const pause = peer.region === options.region ? membersReadPause : otherRegionMembersReadPause;
        if (isReadingMembers || clock() - membersReadAt < pause) {
            return;
        }
        isReadingMembers = true;
        try {
            membership.merge(await options.readMembers(peer), clock());
        }
        catch (error) {
            log.info("peer.membersFailed", { peer: peer.peerAddress, reason: String(error) });
        }
        finally {
            isReadingMembers = false;
            membersReadAt = clock();
        }
    }
}

function decodeRegionAge([region, age]: [string, number]): [RegionId, number] {
    return [regionId(region), age];
}
