/**
 * Reads over HTTP between boxes: the members that a box knows, a whole copy of
 * one kind of shared state, or only what is missing of it. Both ends stand here.
 *
 * Answers are compressed where the reader takes that: they repeat the same few
 * names in each item, and bytes between regions are dear.
 *
 * Owns no connection beyond one read.
 */

import {
    type MemberRecord,
    type MemberStatus,
    type MissingChanges,
    type SharedItems,
    type SharedKind,
    sharedKinds,
    type Snapshot,
} from "@chalkdale/decisions";
import { get, type IncomingMessage, type RequestListener, type ServerResponse } from "node:http";
import { gunzipSync, gzipSync } from "node:zlib";
import { isItemChange, isMissingChanges, isSharedItem } from "../state/state-messages.js";
import type { StatePeer, StateReader, StateReadResult } from "../state/state-reader.js";
import type { TrafficLocality, TrafficPurpose } from "../traffic-meter.js";

const membersPath = "/members";
const statePath = "/state/";
/** Names the revision up to which the reader's copy is complete. */
const sinceParameter = "since";
/** Largest answer that is read, in bytes before and after it is unpacked: sixteen times the largest value of the store. */
const largestAnswer = 16 * 1024 * 1024;
/** Milliseconds without a byte after which a read fails, as for calls of the store. */
const readTimeout = 1500;
/** Bytes from which an answer is compressed: a smaller one fits into a packet or two. */
const leastCompressed = 2048;
/** Effort of the compression, from 1 to 9: more takes twice the time for little less. */
const compressionLevel = 1;

/** What a box has for others to read. */
export interface PeerListenerOptions {
    readonly members: () => readonly MemberStatus[];
    /** The own copy of a kind, if there is one. */
    readonly snapshot: (kind: SharedKind) => Snapshot<unknown> | undefined;
    /** What a copy that is complete up to a revision lacks, as far as the changes are kept. */
    readonly changesSince: (kind: SharedKind, since: number) => MissingChanges<unknown> | undefined;
}

/** Returns the listener that answers other boxes and the command line. */
export function createPeerListener(options: PeerListenerOptions): RequestListener {
    return (request: IncomingMessage, response: ServerResponse): void => {
        const body = bodyFor(request.url ?? "/");
        if (body === undefined) {
            response.writeHead(404).end();
            return;
        }
        endWithJson(request, response, JSON.stringify(body));
    };

    function bodyFor(url: string): unknown {
        const [path, query] = url.split("?", 2);
        if (path === membersPath) {
            return options.members().map(writeMember);
        }
        const kind = sharedKinds.find(candidate => path === `${statePath}${candidate}`);
        if (kind === undefined) {
            return undefined;
        }
        const since = new URLSearchParams(query).get(sinceParameter);
        const missing = since === null ? undefined : options.changesSince(kind, Number(since));
        return missing ?? options.snapshot(kind);
    }
}

function endWithJson(request: IncomingMessage, response: ServerResponse, text: string): void {
    const takesGzip = String(request.headers["accept-encoding"] ?? "").includes("gzip");
    const isCompressed = takesGzip && text.length >= leastCompressed;
    const body = isCompressed ? gzipSync(text, { level: compressionLevel }) : Buffer.from(text);
    response.writeHead(200, {
        "content-type": "application/json",
        "content-length": body.length,
        ...isCompressed ? { "content-encoding": "gzip" } : {},
        connection: "close",
    });
    response.end(body);
}

/** A member in an answer: its record, with what is known of it beside; an earlier release gives the record alone. */
type MemberInAnswer = MemberRecord & Partial<Omit<MemberStatus, "record">>;

function writeMember({ heardAgo, record, suspectedFor }: MemberStatus): MemberInAnswer {
    return { ...record, heardAgo: Math.round(heardAgo), suspectedFor: suspectedFor && Math.round(suspectedFor) };
}

function readMember({ heardAgo = 0, suspectedFor, ...record }: MemberInAnswer): MemberStatus {
    return { record, heardAgo, suspectedFor };
}

/** Reads from other boxes; each rejects when the box doesn't answer, or with something else. */
export interface PeerReads {
    /** The members that another box knows. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberStatus[]>;
    /** What another box has of a kind beyond a copy that is complete up to `since`; all of it if there is none. */
    readonly readState: StateReader;
}

export interface PeerReadsOptions {
    readonly countTraffic: (purpose: TrafficPurpose, place: TrafficLocality, bytes: number) => void;
    readonly signal: AbortSignal;
}

/** Creates the reads of one box. */
export function createPeerReads({ countTraffic, signal }: PeerReadsOptions): PeerReads {
    return {
        async readMembers(peer) {
            const members = JSON.parse(await readText(peer, "members", membersPath)) as MemberInAnswer[];
            return members.map(readMember);
        },
        async readState<Kind extends SharedKind>(peer: StatePeer, kind: Kind, since: number | undefined) {
            const query = since === undefined ? "" : `?${sinceParameter}=${since}`;
            return readStateFrom(kind, await readText(peer, "snapshot", `${statePath}${kind}${query}`));
        },
    };

    async function readText(peer: StatePeer, purpose: TrafficPurpose, path: string): Promise<string> {
        const { bytes, text } = await read(`http://${peer.peerAddress}${path}`, signal);
        countTraffic(purpose, peer, bytes);
        return text;
    }
}

function readStateFrom<Kind extends SharedKind>(kind: Kind, text: string): StateReadResult<Kind> {
    const body = JSON.parse(text) as Partial<Snapshot<SharedItems[Kind]>>;
    if (isMissingChanges(kind, body)) {
        return { kind: "missing", missing: body };
    }
    const { held = [], items, revision } = body;
    const isSnapshot = Number.isFinite(revision)
        && Array.isArray(items) && items.every(item => isSharedItem(kind, item))
        && Array.isArray(held) && held.every(change => isItemChange(kind, change));
    if (!isSnapshot) {
        throw new Error("not a snapshot");
    }
    return { kind: "snapshot", snapshot: body as Snapshot<SharedItems[Kind]> };
}

interface ReadText {
    readonly text: string;
    /** Bytes as they came. */
    readonly bytes: number;
}

function read(url: string, signal: AbortSignal): Promise<ReadText> {
    return new Promise((resolve, reject) => {
        const headers = { "accept-encoding": "gzip" };
        const request = get(url, { agent: false, signal, timeout: readTimeout, headers }, response => {
            const chunks: Buffer[] = [];
            let size = 0;
            response.on("data", (chunk: Buffer) => {
                size += chunk.length;
                chunks.push(chunk);
                if (size > largestAnswer) {
                    request.destroy(new Error("answer too large"));
                }
            });
            response.on("error", reject);
            response.on("end", () => {
                if (response.statusCode !== 200) {
                    reject(new Error(`status ${response.statusCode}`));
                    return;
                }
                try {
                    resolve({ text: unpack(response, Buffer.concat(chunks)), bytes: size });
                }
                catch (error) {
                    reject(error instanceof Error ? error : new Error(String(error)));
                }
            });
        });
        request.on("timeout", () => request.destroy(new Error("no answer")));
        request.on("error", reject);
    });
}

function unpack(response: IncomingMessage, data: Buffer): string {
    const isCompressed = response.headers["content-encoding"] === "gzip";
    return (isCompressed ? gunzipSync(data, { maxOutputLength: largestAnswer }) : data).toString("utf8");
}
