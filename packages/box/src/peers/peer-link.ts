/**
 * Gossip between boxes by datagrams.
 *
 * Every round a box asks one box of its region, and at times one of another, for
 * a sign of life, and tells it the news of members and how far its own copies
 * reach; one of its region also hears which servers do badly. The answer has the
 * same parts. A box that follows the store tells its whole region how far its
 * copies reach.
 *
 * Owns the socket and the listener for reads; relies on the membership for who
 * there is. What arrives is taken by `peer-receiver`.
 */

import {
    createProbing,
    gossipInterval,
    type MemberRecord,
    type Membership,
    type MemberStatus,
    type MissingChanges,
    type SharedKind,
    type Snapshot,
} from "@chalkdale/decisions";
import type { BoxId, Clock, RegionId } from "@chalkdale/kernel";
import { type Address, intervalStream, type Log, splitAddress } from "@chalkdale/runtime";
import { createSocket } from "node:dgram";
import { createServer } from "node:http";
import type { PoisonRequestReport } from "../poison-requests/poison-request-messages.js";
import type { QuotaMessage } from "../quotas/quota-messages.js";
import type { RolloutMessage } from "../rollouts/rollout-messages.js";
import type { LimitReport } from "../servers/limit-messages.js";
import type { StateDigest, StateUpdate } from "../state/state-messages.js";
import type { StatePeer } from "../state/state-reader.js";
import type { TrafficLocality, TrafficPurpose } from "../traffic-meter.js";
import type { OutlierGossip } from "./outlier-gossip.js";
import { encodeHeartbeat, maxDatagramBytes, type MemberHeartbeat, type PeerMessage } from "./peer-messages.js";
import { createPeerListener } from "./peer-reads.js";
import { createPeerReceiver } from "./peer-receiver.js";

/**
 * Members in one datagram at most, of some 65 bytes each: three fragments of a local network while half of a fleet is lost, few
 * members at other times.
 */
const mostBeats = 40;
/** Boxes that hear at once from a box that others suspect. */
const refutationTargets = 4;

export interface PeerLinkOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly listen: Address;
    readonly region: RegionId;
    readonly membership: Membership;
    readonly digest: () => StateDigest;
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    readonly onUpdate: (update: StateUpdate) => void;
    /** True for a box that callers are named. */
    readonly isAdvertised: (box: BoxId) => boolean;
    /** True while the boxes of the region depend on what this one says of its copies. */
    readonly isFollowingStore: () => boolean;
    /** Rounds between two messages that say so to the whole region. */
    readonly roundsBetweenDigests: number;
    /** What this box and others of its region say of servers that do badly. */
    readonly serverReports: OutlierGossip;
    readonly snapshot: (kind: SharedKind) => Snapshot<unknown> | undefined;
    readonly changesSince: (kind: SharedKind, since: number) => MissingChanges<unknown> | undefined;
    /** Reads all members that another box knows. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberStatus[]>;
    readonly countTraffic: (purpose: TrafficPurpose, place: TrafficLocality, bytes: number) => void;
    /** Another box told of requests that end servers. */
    readonly onPoisonRequestReports: (reports: readonly PoisonRequestReport[]) => void;
    /** Such requests that all boxes have to know; undefined while there are none. */
    readonly poisonRequestReports: () => readonly PoisonRequestReport[] | undefined;
    /** Another box told of limits that servers name. */
    readonly onLimits: (reports: readonly LimitReport[]) => void;
    /** Limits that all boxes have to know; undefined while there are none. */
    readonly limits: () => readonly LimitReport[] | undefined;
    /** Another box told of customers' quotas. */
    readonly onQuota: (from: MemberRecord, message: QuotaMessage) => void;
    /** Another box told of roll-outs. */
    readonly onRollout: (from: MemberRecord, message: RolloutMessage) => void;
    /** Decisions on roll-outs that gossip repeats now. */
    readonly rolloutUpdate: () => RolloutMessage | undefined;
    readonly signal: AbortSignal;
}

/** Where a datagram goes; the place of a seed is not known, and the few datagrams to seeds are not counted. */
type PeerTarget = Pick<MemberRecord, "peerAddress"> & Partial<TrafficLocality>;

/** The link of one box to the others. */
export interface PeerLink {
    /** Sends what this box knows of all boxes to the one at an address. */
    readonly sendGossip: (peer: PeerTarget) => void;
    /** The same to all known boxes at once, for instance that this one is leaving. */
    readonly gossipToAll: () => void;
    /** Passes changes on to the boxes of the region; they are told of those that are too large for a datagram, and read them. */
    readonly publish: (update: StateUpdate) => void;
    /** Tells the boxes of the region how far the copies reach, at once. */
    readonly sendDigestToRegion: () => void;
    /** Sends what is known of requests that end servers. */
    readonly sendPoisonRequestReports: (box: MemberRecord, reports: readonly PoisonRequestReport[]) => void;
    /** Sends limits that servers name. */
    readonly sendLimits: (box: MemberRecord, limits: readonly LimitReport[]) => void;
    /** Sends a part about customers' quotas. */
    readonly sendQuota: (box: MemberRecord, message: QuotaMessage) => void;
    /** Sends a part about roll-outs. */
    readonly sendRollout: (box: MemberRecord, message: RolloutMessage) => void;
}

/** Listens and gossips until the signal aborts. */
export function startPeerLink(options: PeerLinkOptions): PeerLink {
    const { clock, log, membership, random, signal } = options;
    const probing = createProbing({ membership, random, isAdvertised: options.isAdvertised });
    let roundsSinceTold = 0;
    const socket = createSocket("udp4");
    socket.on("error", error => log.warn("peer.socketFailed", { reason: error.message }));
    socket.on(
        "message",
        createPeerReceiver({
            ...options,
            onReports: options.serverReports.onReports,
            replyTo: peer => sendGossip(peer),
        }),
    );
    socket.bind(options.listen.port, options.listen.host);
    const server = createServer(createPeerListener({
        members: () => [
            { record: membership.ownRecord(), heardAgo: 0, suspectedFor: undefined },
            ...membership.statuses(clock()),
        ],
        snapshot: options.snapshot,
        changesSince: options.changesSince,
    }));
    server.listen(options.listen.port, options.listen.host);
    signal.addEventListener("abort", () => {
        socket.close();
        server.close();
    }, { once: true });
    void intervalStream(gossipInterval, signal).observe(gossip);

    return {
        sendGossip: peer => sendGossip(peer),
        gossipToAll,
        publish,
        sendDigestToRegion: tellRegion,
        sendPoisonRequestReports: (box, deadly) =>
            send("deadly", JSON.stringify({ ...createMessage([]), deadly }), box),
        sendLimits: (box, limits) => send("limits", JSON.stringify({ ...createMessage([]), limits }), box),
        sendQuota: (box, quota) => send("quota", JSON.stringify({ ...createMessage([]), quota }), box),
        sendRollout: (box, rollout) =>
            send("rollout", JSON.stringify({ ...createMessage([]), digest: undefined, rollout }), box),
    };

    function gossip(): void {
        const { region } = membership.incrementHeartbeat();
        const reports = options.serverReports.current();
        for (const member of probing.nextRound(clock())) {
            sendGossip(member, { asks: true, ...reports.length > 0 && member.region === region ? { reports } : {} });
        }
        if (membership.consumeOwnSuspicion()) {
            log.info("peer.suspected", { box: membership.ownRecord().box });
            someMembers(refutationTargets).forEach(member => sendGossip(member));
        }
        roundsSinceTold += 1;
        if (options.isFollowingStore() && roundsSinceTold >= options.roundsBetweenDigests) {
            tellRegion();
        }
    }

    /**
     * The boxes of the region learn of the copies at once, and again after as many rounds. Left to the next round, a whole
     * configuration, too large for a datagram, reached them up to 600 ms later, or by chance if this box follows no more.
     */
    function tellRegion(): void {
        roundsSinceTold = 0;
        sendToRegion("digest", JSON.stringify(createMessage([])));
    }

    function publish(update: StateUpdate): void {
        const data = JSON.stringify(createMessage([], update));
        if (data.length > maxDatagramBytes) {
            log.info("peer.updateTooLarge", { bytes: data.length });
            tellRegion();
            return;
        }
        sendToRegion("update", data);
    }

    function someMembers(count: number): readonly MemberRecord[] {
        const members = [...membership.recentMembers(clock())];
        const chosen: MemberRecord[] = [];
        while (members.length > 0 && chosen.length < count) {
            chosen.push(...members.splice(Math.floor(random() * members.length), 1));
        }
        return chosen;
    }

    function sendToRegion(purpose: TrafficPurpose, data: string): void {
        const { box, region } = membership.ownRecord();
        membership.alive(clock())
            .filter(member => member.region === region && member.box !== box)
            .forEach(member => send(purpose, data, member));
    }

    function gossipToAll(): void {
        membership.incrementHeartbeat();
        membership.recentMembers(clock()).forEach(member => sendGossip(member));
    }

    function sendGossip(peer: PeerTarget, parts: Pick<PeerMessage, "asks" | "reports"> = {}): void {
        const regions = Object.fromEntries(
            [...membership.regionAges(clock())].map(([region, age]) => [region, Math.round(age)]),
        );
        const message = createMessage(membership.nextUpdates(mostBeats, clock()).map(encodeHeartbeat));
        const rollout = options.rolloutUpdate();
        const deadly = options.poisonRequestReports();
        const limits = options.limits();
        send("gossip", JSON.stringify({ ...message, regions, rollout, deadly, limits, ...parts }), peer);
    }

    function createMessage(beats: readonly MemberHeartbeat[], update?: StateUpdate): PeerMessage {
        return { from: membership.ownRecord(), beats, digest: options.digest(), update };
    }

    /** A datagram that could not be sent is as lost as one on the way: the next round says the same. */
    function send(purpose: TrafficPurpose, data: string, { peerAddress, region, zone }: PeerTarget): void {
        const { host, port } = splitAddress(peerAddress);
        if (region !== undefined && zone !== undefined) {
            options.countTraffic(purpose, { region, zone }, data.length);
        }
        socket.send(data, port, host, error => {
            if (error) {
                log.info("peer.sendFailed", { peer: peerAddress, reason: error.message });
            }
        });
    }
}
