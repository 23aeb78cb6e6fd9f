/**
 * Gossip between boxes by datagrams.
 *
 * Every round a box sends its heartbeat, the highest heartbeats it knows and how
 * far its copies reach to one box of its region and to one of another; the one of
 * its region also hears which servers do badly. A box
 * that follows the store sends to its whole region.
 *
 * Owns the socket and the listener for reads; relies on the membership for who
 * there is. What arrives is taken by `peer-receiver`.
 */

import {
    gossipInterval,
    type MemberRecord,
    type Membership,
    type MissingChanges,
    type SharedKind,
    type Snapshot,
} from "@chalkdale/decisions";
import type { Clock, RegionId } from "@chalkdale/kernel";
import { type Address, every, type Log, splitAddress } from "@chalkdale/runtime";
import { createSocket } from "node:dgram";
import { createServer } from "node:http";
import type { StatePeer } from "../state/snapshot-catch-up.js";
import type { StateDigest, StateUpdate } from "../state/state-messages.js";
import type { TrafficPlace, TrafficPurpose } from "../traffic-meter.js";
import { type Beat, beatOf, largestDatagram, type PeerMessage } from "./peer-messages.js";
import { createPeerListener } from "./peer-reads.js";
import { createPeerReceiver } from "./peer-receiver.js";
import type { ReportMessage, ServerReports } from "./server-reports.js";

/** Members in one datagram at most: with some 60 bytes each, two fragments of a local network. */
const mostBeats = 24;

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
    /** True while the boxes of the region depend on what this one says of its copies. */
    readonly isFollowing: () => boolean;
    /** What this box and others of its region say of servers that do badly. */
    readonly serverReports: ServerReports;
    readonly snapshot: (kind: SharedKind) => Snapshot<unknown> | undefined;
    readonly changesSince: (kind: SharedKind, since: number) => MissingChanges<unknown> | undefined;
    /** Reads all members that another box knows. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberRecord[]>;
    readonly countTraffic: (purpose: TrafficPurpose, place: TrafficPlace, bytes: number) => void;
    readonly signal: AbortSignal;
}

/** Where a datagram goes; the place of a seed is not known, and the few datagrams to seeds are not counted. */
export type PeerTarget = Pick<MemberRecord, "peerAddress"> & Partial<TrafficPlace>;

/** The link of one box to the others. */
export interface PeerLink {
    /** Sends what this box knows of all boxes to the one at an address. */
    readonly sendGossip: (peer: PeerTarget) => void;
    /** The same to all known boxes at once, for instance that this one is leaving. */
    readonly gossipToAll: () => void;
    /** Passes changes on to the boxes of the region; they read those that are too large for a datagram themselves. */
    readonly publish: (update: StateUpdate) => void;
}

/** Listens and gossips until the signal aborts. */
export function startPeerLink(options: PeerLinkOptions): PeerLink {
    const { clock, log, membership, signal } = options;
    const socket = createSocket("udp4");
    socket.on("error", error => log.warn("peer.socketFailed", { reason: error.message }));
    socket.on(
        "message",
        createPeerReceiver({
            ...options,
            onReports: options.serverReports.onReports,
            greet: peer => sendGossip(peer),
        }),
    );
    socket.bind(options.listen.port, options.listen.host);
    const server = createServer(createPeerListener({
        members: () => membership.alive(clock()),
        snapshot: options.snapshot,
        changesSince: options.changesSince,
    }));
    server.listen(options.listen.port, options.listen.host);
    signal.addEventListener("abort", () => {
        socket.close();
        server.close();
    }, { once: true });
    void every(gossipInterval, signal).observe(gossip);

    return {
        sendGossip: peer => sendGossip(peer),
        gossipToAll,
        publish: update => sendToRegion("update", createMessage([], update)),
    };

    function gossip(): void {
        const own = membership.beat();
        const others = membership.reachable(clock());
        const near = others.filter(member => member.region === own.region);
        const far = others.filter(member => member.region !== own.region);
        gossipToOneOf(near, options.serverReports.current());
        gossipToOneOf(far);
        if (options.isFollowing()) {
            sendToRegion("digest", createMessage([]));
        }
    }

    function gossipToOneOf(members: readonly MemberRecord[], reports: readonly ReportMessage[] = []): void {
        const chosen = members[Math.floor(options.random() * members.length)];
        if (chosen !== undefined) {
            sendGossip(chosen, reports);
        }
    }

    function sendToRegion(purpose: TrafficPurpose, message: PeerMessage): void {
        const data = JSON.stringify(message);
        if (data.length > largestDatagram) {
            log.info("peer.updateTooLarge", { bytes: data.length });
            return;
        }
        const { box, region } = message.from;
        membership.alive(clock())
            .filter(member => member.region === region && member.box !== box)
            .forEach(member => send(purpose, data, member));
    }

    function gossipToAll(): void {
        membership.beat();
        membership.reachable(clock()).forEach(member => sendGossip(member));
    }

    function sendGossip(peer: PeerTarget, reports: readonly ReportMessage[] = []): void {
        const [, ...others] = membership.freshest(mostBeats, clock());
        const message = createMessage(others.map(beatOf));
        send("gossip", JSON.stringify(reports.length > 0 ? { ...message, reports } : message), peer);
    }

    function createMessage(beats: readonly Beat[], update?: StateUpdate): PeerMessage {
        const [from] = membership.freshest(1, clock());
        return { from, beats, digest: options.digest(), update };
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
