/**
 * Takes what other boxes send: heartbeats, digests, changes, and reports about
 * servers. What can't be read is logged and left out.
 *
 * Owns nothing that lasts; relies on the membership for who there is, and hands
 * everything else on to those who asked for it.
 */

import type { MemberRecord, Membership, MemberStatus } from "@chalkdale/decisions";
import { boxId, type Clock, type RegionId, regionId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { PoisonRequestReport } from "../poison-requests/poison-request-messages.js";
import type { QuotaMessage } from "../quotas/quota-messages.js";
import type { RolloutMessage } from "../rollouts/rollout-messages.js";
import type { LimitReport } from "../servers/limit-messages.js";
import type { StateDigest, StateUpdate } from "../state/state-messages.js";
import type { StatePeer } from "../state/state-reader.js";
import type { OutlierReportMessage } from "./outlier-gossip.js";
import { decodeHeartbeat, type MemberHeartbeat, type PeerMessage, readMessage } from "./peer-messages.js";

export interface PeerReceiverOptions {
    readonly clock: Clock;
    readonly log: Log;
    /** Region of this box. */
    readonly region: RegionId;
    readonly membership: Membership;
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    readonly onUpdate: (update: StateUpdate) => void;
    readonly onReports: (reports: readonly OutlierReportMessage[]) => void;
    readonly onPoisonRequestReports: (reports: readonly PoisonRequestReport[]) => void;
    readonly onLimits: (reports: readonly LimitReport[]) => void;
    readonly onQuota: (from: MemberRecord, message: QuotaMessage) => void;
    readonly onRollout: (from: MemberRecord, message: RolloutMessage) => void;
    /** Answers a box that asks, or that was not known before. */
    readonly replyTo: (peer: MemberRecord) => void;
    /** Reads all members that another box knows. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberStatus[]>;
}

/**
 * Milliseconds after a read of members before the next one from a box of the own region: a round of gossip, in which others'
 * news spreads by itself. Without a pause each box of a fleet that starts would read them again and again.
 */
const membersPause = 300;
/** The same from another region, whose bytes are dear. */
const farMembersPause = 2000;

/** Returns the listener for datagrams. Never throws. */
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
        if (mergeBeats(message.beats)) {
            void readMembersIfDue(from);
        }
        if (message.regions !== undefined) {
            membership.mergeRegionAges(new Map(Object.entries(message.regions).map(readAge)), clock());
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
            options.onReports(message.reports);
        }
        if (message.deadly !== undefined) {
            options.onPoisonRequestReports(message.deadly);
        }
        if (message.limits !== undefined) {
            options.onLimits(message.limits);
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

    /** Merges what is told of members that are known in full; true if some are not. */
    function mergeBeats(beats: readonly MemberHeartbeat[]): boolean {
        const sightings: MemberStatus[] = [];
        for (const beat of beats) {
            const member = membership.find(boxId(beat[0]));
            if (member !== undefined) {
                sightings.push(decodeHeartbeat(member, beat));
            }
        }
        membership.merge(sightings, clock());
        return sightings.length < beats.length;
    }

    /** One read at a time: what one box tells, the next would tell again. */
    async function readMembersIfDue(peer: StatePeer): Promise<void> {
        const pause = peer.region === options.region ? membersPause : farMembersPause;
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

function readAge([region, age]: [string, number]): [RegionId, number] {
    return [regionId(region), age];
}
