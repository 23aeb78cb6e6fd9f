/**
 * Messages between boxes: small datagrams with heartbeats, what the sender
 * knows, and changes that a relay passes on; and snapshots over HTTP for a box
 * that knows less.
 */

import type { MemberRecord, Membership, Snapshot } from "@chalkdale/decisions";
import { type Clock, incarnationId, milliseconds } from "@chalkdale/kernel";
import { every, type Log } from "@chalkdale/runtime";
import { createSocket } from "node:dgram";
import { createServer, get, type IncomingMessage, type ServerResponse } from "node:http";
import type { ListenAddress } from "../settings.js";
import type { StatePeer } from "../state/replicator.js";
import {
    isSharedItem,
    isStateDigest,
    isStateUpdate,
    type StateDigest,
    type StateUpdate,
} from "../state/state-messages.js";
import { type SharedKind, sharedKinds } from "../state/state-store.js";

/** Time between two rounds of gossip. */
export const gossipInterval = milliseconds(300);
/** Members told in one datagram at most. */
const mostBeats = 24;
/** Largest datagram and snapshot that are read, in bytes. */
const largestDatagram = 8192;
const largestSnapshot = 16 * 1024 * 1024;
const snapshotTimeout = 1500;

/** Heartbeat of one member: box, incarnation, heartbeat, ready, leaving, load. */
type Beat = readonly [box: string, incarnation: string, heartbeat: number, ready: 0 | 1, leaving: 0 | 1, load: number];

interface PeerMessage {
    readonly from: MemberRecord;
    readonly beats: readonly Beat[];
    readonly digest: StateDigest;
    readonly update?: StateUpdate;
}

export interface PeerLinkOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly listen: ListenAddress;
    readonly membership: Membership;
    readonly digest: () => StateDigest;
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    readonly onUpdate: (update: StateUpdate) => void;
    /** True while the boxes of the region depend on what this one tells of its copies. */
    readonly isFollowing: () => boolean;
    readonly snapshot: (kind: SharedKind) => Snapshot<unknown> | undefined;
    readonly signal: AbortSignal;
}

/** The link of one box to the others. */
export interface PeerLink {
    /** Tells the box at an address about this one. */
    readonly sendGossip: (peerAddress: string) => void;
    /** Tells all known boxes at once, for instance that this one is leaving. */
    readonly gossipToAll: () => void;
    /** Passes changes on to the boxes of the region; too large ones they read themselves. */
    readonly publish: (update: StateUpdate) => void;
}

/** Listens and gossips until the signal aborts. */
export function startPeerLink(options: PeerLinkOptions): PeerLink {
    const { clock, log, membership, signal } = options;
    const socket = createSocket("udp4");
    socket.on("error", error => log.warn("peer.socketFailed", { reason: error.message }));
    socket.on("message", data => {
        try {
            onDatagram(data);
        }
        catch (error) {
            log.warn("peer.faultyMessage", { bytes: data.length, reason: String(error) });
        }
    });
    socket.bind(options.listen.port, options.listen.host);

    const server = createServer(answerPeer);
    server.listen(options.listen.port, options.listen.host);
    signal.addEventListener("abort", () => {
        socket.close();
        server.close();
    }, { once: true });
    void every(gossipInterval, signal).observe(gossip);

    return {
        sendGossip,
        gossipToAll,
        publish: update => sendToRegion(createMessage([], update)),
    };

    function gossip(): void {
        const own = membership.beat(clock());
        const others = membership.reachable(clock());
        const near = others.filter(member => member.region === own.region);
        const far = others.filter(member => member.region !== own.region);
        for (const group of [near, far]) {
            const chosen = group[Math.floor(options.random() * group.length)];
            if (chosen !== undefined) {
                sendGossip(chosen.peerAddress);
            }
        }
        if (options.isFollowing()) {
            sendToRegion(createMessage([]));
        }
    }

    function sendToRegion(message: PeerMessage): void {
        const data = JSON.stringify(message);
        if (data.length > largestDatagram) {
            return;
        }
        const { box, region } = message.from;
        membership.alive(clock())
            .filter(member => member.region === region && member.box !== box)
            .forEach(member => send(data, member.peerAddress));
    }

    function gossipToAll(): void {
        membership.beat(clock());
        membership.reachable(clock()).forEach(member => sendGossip(member.peerAddress));
    }

    function sendGossip(peerAddress: string): void {
        const [, ...others] = membership.freshest(mostBeats, clock());
        send(JSON.stringify(createMessage(others.map(beatOf))), peerAddress);
    }

    function createMessage(beats: readonly Beat[], update?: StateUpdate): PeerMessage {
        const [from] = membership.freshest(1, clock());
        return { from, beats, digest: options.digest(), update };
    }

    function send(data: string, peerAddress: string): void {
        const { host, port } = splitAddress(peerAddress);
        socket.send(data, port, host, () => undefined);
    }

    function onDatagram(data: Buffer): void {
        const message = readMessage(data);
        if (message === undefined) {
            log.debug("peer.unreadable", { bytes: data.length });
            return;
        }
        const added = membership.merge([message.from], clock());
        const unknown = mergeBeats(message.beats);
        if (unknown) {
            void readMembers(message.from.peerAddress);
        }
        for (const member of added) {
            log.info("peer.joined", { box: member.box, zone: member.zone, incarnation: member.incarnation });
            sendGossip(member.peerAddress);
        }
        if (message.update !== undefined) {
            options.onUpdate(message.update);
        }
        options.onDigest(message.from, message.digest);
    }

    /** Merges heartbeats of members that are known in full; true if some are not. */
    function mergeBeats(beats: readonly Beat[]): boolean {
        const known = new Map(membership.reachable(clock()).map(member => [member.box as string, member]));
        const own = membership.freshest(1, clock())[0].box;
        let unknown = false;
        const records: MemberRecord[] = [];
        for (const [box, incarnation, heartbeat, ready, leaving, load] of beats) {
            const member = known.get(box);
            if (member !== undefined) {
                const state = { ready: ready === 1, leaving: leaving === 1, load };
                records.push({ ...member, incarnation: incarnationId(incarnation), heartbeat, ...state });
            }
            else if (box !== own) {
                unknown = true;
            }
        }
        membership.merge(records, clock());
        return unknown;
    }

    async function readMembers(peerAddress: string): Promise<void> {
        try {
            const body = await fetchBounded(`http://${peerAddress}/members`, signal);
            membership.merge(JSON.parse(body) as MemberRecord[], clock());
        }
        catch (error) {
            log.debug("peer.membersFailed", { peer: peerAddress, reason: String(error) });
        }
    }

    function answerPeer(request: IncomingMessage, response: ServerResponse): void {
        const url = request.url ?? "/";
        if (url === "/members") {
            endWithJson(response, membership.alive(clock()));
            return;
        }
        const kind = sharedKinds.find(candidate => url === `/state/${candidate}`);
        const snapshot = kind === undefined ? undefined : options.snapshot(kind);
        if (snapshot === undefined) {
            response.writeHead(404).end();
            return;
        }
        endWithJson(response, snapshot);
    }
}

function beatOf(member: MemberRecord): Beat {
    const { box, heartbeat, incarnation, leaving, load, ready } = member;
    return [box, incarnation, heartbeat, ready ? 1 : 0, leaving ? 1 : 0, load];
}

function endWithJson(response: ServerResponse, body: unknown): void {
    response.writeHead(200, { "content-type": "application/json", connection: "close" }).end(JSON.stringify(body));
}

/** Reads a datagram; undefined if it is none of this protocol. */
function readMessage(data: Buffer): PeerMessage | undefined {
    if (data.length > largestDatagram) {
        return undefined;
    }
    try {
        const message = JSON.parse(data.toString("utf8")) as PeerMessage;
        const isWhole = isMember(message.from) && Array.isArray(message.beats) && message.beats.every(isBeat)
            && isStateDigest(message.digest) && (message.update === undefined || isStateUpdate(message.update));
        return isWhole ? message : undefined;
    }
    catch {
        return undefined;
    }
}

function isMember(record: MemberRecord | undefined): record is MemberRecord {
    return typeof record?.box === "string" && typeof record.incarnation === "string"
        && typeof record.peerAddress === "string" && typeof record.callerAddress === "string"
        && [record.heartbeat, record.capacity, record.load].every(Number.isFinite);
}

function isBeat(beat: unknown): boolean {
    return Array.isArray(beat) && typeof beat[0] === "string" && typeof beat[1] === "string"
        && beat.slice(2).every(Number.isFinite);
}

/** Splits `host:port`. */
export function splitAddress(address: string): ListenAddress {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Reads a snapshot of a kind from another box. */
export async function readPeerSnapshot(peer: string, kind: SharedKind, signal: AbortSignal): Promise<Snapshot<never>> {
    const snapshot = JSON.parse(await fetchBounded(`http://${peer}/state/${kind}`, signal)) as Snapshot<never>;
    const { items, revision } = snapshot;
    if (!Number.isFinite(revision) || !Array.isArray(items) || !items.every(item => isSharedItem(kind, item))) {
        throw new Error("not a snapshot");
    }
    return snapshot;
}

function fetchBounded(url: string, signal: AbortSignal): Promise<string> {
    return new Promise((resolve, reject) => {
        const request = get(url, { agent: false, signal, timeout: snapshotTimeout }, response => {
            const chunks: Buffer[] = [];
            let size = 0;
            response.on("data", (chunk: Buffer) => {
                size += chunk.length;
                chunks.push(chunk);
                if (size > largestSnapshot) {
                    request.destroy(new Error("answer too large"));
                }
            });
            response.on("error", reject);
            response.on("end", () => {
                if (response.statusCode !== 200) {
                    reject(new Error(`status ${response.statusCode}`));
                    return;
                }
                resolve(Buffer.concat(chunks).toString("utf8"));
            });
        });
        request.on("timeout", () => request.destroy(new Error("no answer")));
        request.on("error", reject);
    });
}
