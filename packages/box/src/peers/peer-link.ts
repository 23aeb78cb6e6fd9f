/**
 * Gossip between boxes by datagrams.
 *
 * In every round a box probes one box of its region, and at times one of another region. The probe carries updates
 * about members and the digest of the sender's replicas; within the region also reports about outlier servers. The
 * answer has the same content except for these reports. A box that follows the store also sends its digest to its whole
 * region.
 *
 * Owns the socket and the listener for reads; relies on the membership for which boxes there are. Received datagrams
 * are handled by `peer-receiver`.
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
import { type Address, intervalStream, isUsableAddress, type Log, splitAddress } from "@chalkdale/runtime";
import { createSocket } from "node:dgram";
import { createServer } from "node:http";
import { limitConnections } from "../connection-limiter.js";
import type { LoopShare } from "../loop-share.js";
import { type ForwardingEndpoint, withForwarding } from "../paths/forwarding-endpoint.js";
import type { PoisonRequestReport } from "../poison-requests/poison-request-messages.js";
import type { QuotaMessage } from "../quotas/quota-messages.js";
import type { RolloutMessage } from "../rollouts/rollout-messages.js";
import type { ColdReport } from "../servers/cold-messages.js";
import type { LimitReport } from "../servers/limit-messages.js";
import type { StateDigest, StateUpdate } from "../state/state-messages.js";
import type { StatePeer } from "../state/state-reader.js";
import type { TrafficLocality, TrafficPurpose } from "../traffic-meter.js";
import type { OutlierGossip } from "./outlier-gossip.js";
import { encodeHeartbeat, maxDatagramBytes, type MemberHeartbeat, type PeerMessage } from "./peer-messages.js";
import { createPeerListener } from "./peer-reads.js";
import { createPeerReceiver } from "./peer-receiver.js";

/**
 * Maximum number of members in one datagram, of about 65 bytes each. While half of a fleet is failing, such a datagram
 * takes three fragments in a local network; usually there are few members to report.
 */
const maxHeartbeats = 40;
/** Number of boxes to which a suspected box sends a message at once to refute the suspicion. */
const refutationTargets = 4;

/** What the link depends on, and the handlers of received messages. */
export interface PeerLinkOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly listen: Address;
    /** Connections of other boxes that may be open at once; idle ones are closed beyond that. */
    readonly maxConnections: number;
    readonly loopShare: Pick<LoopShare, "meter">;
    readonly region: RegionId;
    readonly membership: Membership;
    readonly digest: () => StateDigest;
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    readonly onUpdate: (update: StateUpdate) => void;
    /** True for a box whose address look-ups return to callers. */
    readonly isAdvertised: (box: BoxId) => boolean;
    /** True while this box follows the store: the boxes of the region then rely on its digests. */
    readonly isFollowingStore: () => boolean;
    /** Rounds of gossip between two digests to the whole region, while this box follows the store. */
    readonly roundsBetweenDigests: number;
    /** Outlier reports of this box and of others of its region. */
    readonly outlierGossip: OutlierGossip;
    /** Snapshot of this box's replica of a kind; undefined before the first. */
    readonly snapshot: (kind: SharedKind) => Snapshot<unknown> | undefined;
    /** The changes after a revision; undefined if the replica no longer keeps all of them. */
    readonly changesSince: (kind: SharedKind, since: number) => MissingChanges<unknown> | undefined;
    /** Reads all members that another box knows of. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberStatus[]>;
    /** Forwards attempts for other boxes. */
    readonly forwarding: Pick<ForwardingEndpoint, "handle">;
    readonly countTraffic: (purpose: TrafficPurpose, place: TrafficLocality, bytes: number) => void;
    /** Another box reported poison requests. */
    readonly onPoisonRequestReports: (reports: readonly PoisonRequestReport[]) => void;
    /** Poison requests that gossip sends to all boxes; undefined if there are none. */
    readonly poisonRequestReports: () => readonly PoisonRequestReport[] | undefined;
    /** Another box reported rate limits that servers announce. */
    readonly onLimits: (reports: readonly LimitReport[]) => void;
    /** Server rate limits that gossip sends to all boxes; undefined if there are none. */
    readonly limits: () => readonly LimitReport[] | undefined;
    /** Another box has found servers to be cold. */
    readonly onColdReports: (reports: readonly ColdReport[]) => void;
    /** Another box sent a message about customers' quotas. */
    readonly onQuota: (from: MemberRecord, message: QuotaMessage) => void;
    /** Another box sent a message about roll-outs. */
    readonly onRollout: (from: MemberRecord, message: RolloutMessage) => void;
    /** Decisions on roll-outs that gossip repeats; undefined if there are none. */
    readonly rolloutUpdate: () => RolloutMessage | undefined;
    readonly signal: AbortSignal;
}

/**
 * Destination of a datagram. The locality of a seed address isn't known, so the few datagrams to seeds aren't counted
 * as traffic.
 */
type PeerTarget = Pick<MemberRecord, "peerAddress"> & Partial<TrafficLocality>;

/** The link of one box to the other boxes. */
export interface PeerLink {
    /** Sends a gossip message, which contains updates about members, to the box at an address. */
    readonly sendGossip: (peer: PeerTarget) => void;
    /** Sends the same to all known boxes at once, for instance when this box is leaving. */
    readonly gossipToAll: () => void;
    /**
     * Relays changes to the boxes of the region. If they don't fit into a datagram, sends a digest; the boxes then read
     * the changes.
     */
    readonly publish: (update: StateUpdate) => void;
    /** Sends this box's digest to the boxes of its region at once. */
    readonly sendDigestToRegion: () => void;
    /** Sends reports of poison requests to a box. */
    readonly sendPoisonRequestReports: (box: MemberRecord, reports: readonly PoisonRequestReport[]) => void;
    /** Sends rate limits that servers announce to a box. */
    readonly sendLimits: (box: MemberRecord, limits: readonly LimitReport[]) => void;
    /** Tells a box of servers that a health check has found to be cold. */
    readonly sendColdReports: (box: MemberRecord, reports: readonly ColdReport[]) => void;
    /** Sends a message about customers' quotas to a box. */
    readonly sendQuota: (box: MemberRecord, message: QuotaMessage) => void;
    /** Sends a message about roll-outs to a box. */
    readonly sendRollout: (box: MemberRecord, message: RolloutMessage) => void;
}

/** Starts the link: it listens and gossips until the signal aborts. */
export function startPeerLink(options: PeerLinkOptions): PeerLink {
    const { clock, log, membership, random, signal } = options;
    const probing = createProbing({ membership, random, isAdvertised: options.isAdvertised });
    let roundsSinceDigest = 0;
    const socket = createSocket("udp4");
    socket.on("error", error => log.warn("peer.socketFailed", { reason: error.message }));
    socket.on(
        "message",
        createPeerReceiver({
            ...options,
            onOutlierReports: options.outlierGossip.onReports,
            replyTo: peer => sendGossip(peer),
        }),
    );
    socket.bind(options.listen.port, options.listen.host);
    const peerListener = createPeerListener({
        members: () => [
            { record: membership.ownRecord(), heardAgo: 0, suspectedFor: undefined },
            ...membership.statuses(clock()),
        ],
        snapshot: options.snapshot,
        changesSince: options.changesSince,
    });
    const server = createServer(withForwarding(options.forwarding, peerListener));
    limitConnections(server, options.maxConnections);
    server.on("connection", options.loopShare.meter);
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
        sendDigestToRegion,
        sendPoisonRequestReports: (box, poisonRequestReports) =>
            send("deadly", JSON.stringify({ ...createMessage([]), deadly: poisonRequestReports }), box),
        sendLimits: (box, limits) => send("limits", JSON.stringify({ ...createMessage([]), limits }), box),
        sendColdReports: (box, cold) => send("cold", JSON.stringify({ ...createMessage([]), cold }), box),
        sendQuota: (box, quota) => send("quota", JSON.stringify({ ...createMessage([]), quota }), box),
        sendRollout: (box, rollout) =>
            send("rollout", JSON.stringify({ ...createMessage([]), digest: undefined, rollout }), box),
    };

    function gossip(): void {
        const { region } = membership.incrementHeartbeat();
        const reports = options.outlierGossip.current();
        for (const member of probing.nextRound(clock())) {
            sendGossip(member, { asks: true, ...reports.length > 0 && member.region === region ? { reports } : {} });
        }
        if (membership.consumeOwnSuspicion()) {
            log.info("peer.suspected", { box: membership.ownRecord().box });
            pickRandomMembers(refutationTargets).forEach(member => sendGossip(member));
        }
        roundsSinceDigest += 1;
        if (options.isFollowingStore() && roundsSinceDigest >= options.roundsBetweenDigests) {
            sendDigestToRegion();
        }
    }

    /**
     * Sends the digest at once and restarts the count of rounds to the next one. Without this, a whole configuration,
     * which is too large for a datagram, reaches the region up to 600 ms later, or only by random gossip once this box
     * no longer follows the store.
     */
    function sendDigestToRegion(): void {
        roundsSinceDigest = 0;
        sendToRegion("digest", JSON.stringify(createMessage([])));
    }

    function publish(update: StateUpdate): void {
        const data = JSON.stringify(createMessage([], update));
        if (data.length > maxDatagramBytes) {
            log.info("peer.updateTooLarge", { bytes: data.length });
            sendDigestToRegion();
            return;
        }
        sendToRegion("update", data);
    }

    function pickRandomMembers(count: number): readonly MemberRecord[] {
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
        const message = createMessage(membership.nextUpdates(maxHeartbeats, clock()).map(encodeHeartbeat));
        const rollout = options.rolloutUpdate();
        const poisonRequestReports = options.poisonRequestReports();
        const limits = options.limits();
        send(
            "gossip",
            JSON.stringify({ ...message, regions, rollout, deadly: poisonRequestReports, limits, ...parts }),
            peer,
        );
    }

    function createMessage(heartbeats: readonly MemberHeartbeat[], update?: StateUpdate): PeerMessage {
        return { from: membership.ownRecord(), beats: heartbeats, digest: options.digest(), update };
    }

    /** A send error is only logged, as for a datagram that is lost on the way: the next round repeats the content. */
    function send(purpose: TrafficPurpose, data: string, { peerAddress, region, zone }: PeerTarget): void {
        if (!isUsableAddress(peerAddress)) {
            log.warn("peer.sendFailed", { peer: peerAddress, reason: "no usable address" });
            return;
        }
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
