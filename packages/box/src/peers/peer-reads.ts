/**
 * Reads between boxes over HTTP, client and server: the members that a box knows of, a whole snapshot of one kind of
 * shared state, or only the changes that the reader's replica lacks.
 *
 * Answers are compressed if the reader accepts that: their items repeat the same few names, and traffic between regions
 * is expensive.
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
import { onClosedUnanswered } from "../unanswered-request.js";
import { isMemberRecord } from "./member-record-validation.js";

const membersPath = "/members";
const statePath = "/state/";
/** Query parameter: the revision up to which the reader's replica is complete. */
const sinceParameter = "since";
/** Size limit of an answer in bytes, compressed and decompressed: sixteen times the largest value of the store. */
const maxAnswerBytes = 16 * 1024 * 1024;
/** Milliseconds without received data after which a read fails, the same as for calls of the store. */
const readTimeout = 1500;
/** Size in bytes from which an answer is compressed: a smaller one fits into one or two packets. */
const minCompressedBytes = 2048;
/** Compression level of gzip, from 1 to 9: higher ones take twice the time and save little more. */
const compressionLevel = 1;

/** The data that other boxes read. */
export interface PeerListenerOptions {
    /** All members that this box knows of, itself included. */
    readonly members: () => readonly MemberStatus[];
    /** Snapshot of this box's replica of a kind; undefined before the first. */
    readonly snapshot: (kind: SharedKind) => Snapshot<unknown> | undefined;
    /** The changes after a revision; undefined if the replica no longer keeps all of them. */
    readonly changesSince: (kind: SharedKind, since: number) => MissingChanges<unknown> | undefined;
}

/** Creates the HTTP listener that answers other boxes and the command line. */
export function createPeerListener(options: PeerListenerOptions): RequestListener {
    return (request: IncomingMessage, response: ServerResponse): void => {
        const body = findBody(request.url ?? "/");
        if (body === undefined) {
            response.writeHead(404).end();
            return;
        }
        sendJson(request, response, JSON.stringify(body));
    };

    function findBody(url: string): unknown {
        const [path, query] = url.split("?", 2);
        if (path === membersPath) {
            return options.members().map(encodeMember);
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

function sendJson(request: IncomingMessage, response: ServerResponse, text: string): void {
    const acceptsGzip = String(request.headers["accept-encoding"] ?? "").includes("gzip");
    const isCompressed = acceptsGzip && text.length >= minCompressedBytes;
    const body = isCompressed ? gzipSync(text, { level: compressionLevel }) : Buffer.from(text);
    response.writeHead(200, {
        "content-type": "application/json",
        "content-length": body.length,
        ...isCompressed ? { "content-encoding": "gzip" } : {},
        connection: "close",
    });
    response.end(body);
}

/** A member in an answer: its record together with its status; earlier releases send only the record. */
type MemberInAnswer = MemberRecord & Partial<Omit<MemberStatus, "record">>;

function encodeMember({ heardAgo, record, suspectedFor }: MemberStatus): MemberInAnswer {
    return { ...record, heardAgo: Math.round(heardAgo), suspectedFor: suspectedFor && Math.round(suspectedFor) };
}

function isMemberInAnswer(member: MemberInAnswer): boolean {
    return isMemberRecord(member) && [member.heardAgo ?? 0, member.suspectedFor ?? 0].every(Number.isFinite);
}

function decodeMember({ heardAgo = 0, suspectedFor, ...record }: MemberInAnswer): MemberStatus {
    return { record, heardAgo, suspectedFor };
}

/** Reads from other boxes. Each rejects if the box doesn't answer, or if its answer is invalid. */
export interface PeerReads {
    /** Reads the members that another box knows of. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberStatus[]>;
    /** Reads what another box's replica has after revision `since`, or all of it; see `StateReader`. */
    readonly readState: StateReader;
}

/** What the reads depend on. */
export interface PeerReadsOptions {
    /** Counts the received bytes of an answer, as transferred. */
    readonly countTraffic: (purpose: TrafficPurpose, place: TrafficLocality, bytes: number) => void;
    readonly signal: AbortSignal;
}

/** Creates the reads of one box. */
export function createPeerReads({ countTraffic, signal }: PeerReadsOptions): PeerReads {
    return {
        async readMembers(peer) {
            const members = JSON.parse(await readText(peer, "members", membersPath)) as MemberInAnswer[];
            return members.filter(isMemberInAnswer).map(decodeMember);
        },
        async readState<Kind extends SharedKind>(peer: StatePeer, kind: Kind, since: number | undefined) {
            const query = since === undefined ? "" : `?${sinceParameter}=${since}`;
            return decodeState(kind, await readText(peer, "snapshot", `${statePath}${kind}${query}`));
        },
    };

    async function readText(peer: StatePeer, purpose: TrafficPurpose, path: string): Promise<string> {
        const { bytes, text } = await readFromUrl(`http://${peer.peerAddress}${path}`, signal);
        countTraffic(purpose, peer, bytes);
        return text;
    }
}

function decodeState<Kind extends SharedKind>(kind: Kind, text: string): StateReadResult<Kind> {
    const body = JSON.parse(text) as Partial<Snapshot<SharedItems[Kind]>>;
    if (isMissingChanges(kind, body)) {
        return { kind: "missing", missing: body };
    }
    const { held = [], items, revision } = body;
    const isSnapshot = Number.isFinite(revision)
        && Array.isArray(items) && items.every(item => isSharedItem(kind, item))
        && Array.isArray(held) && held.every(change => isItemChange(kind, change));
    if (!isSnapshot) {
        throw new Error("answer is neither a snapshot nor missing changes");
    }
    return { kind: "snapshot", snapshot: body as Snapshot<SharedItems[Kind]> };
}

interface ReceivedText {
    readonly text: string;
    /** Size as transferred, before decompression. */
    readonly bytes: number;
}

function readFromUrl(url: string, signal: AbortSignal): Promise<ReceivedText> {
    return new Promise((resolve, reject) => {
        const headers = { "accept-encoding": "gzip" };
        const request = get(url, { agent: false, signal, timeout: readTimeout, headers }, response => {
            const chunks: Buffer[] = [];
            let size = 0;
            response.on("data", (chunk: Buffer) => {
                size += chunk.length;
                chunks.push(chunk);
                if (size > maxAnswerBytes) {
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
                    resolve({ text: decompress(response, Buffer.concat(chunks)), bytes: size });
                }
                catch (error) {
                    reject(error instanceof Error ? error : new Error(String(error)));
                }
            });
        });
        request.on("timeout", () => request.destroy(new Error("no answer")));
        request.on("error", reject);
        onClosedUnanswered(request, () => reject(new Error("closed without an answer")));
    });
}

function decompress(response: IncomingMessage, data: Buffer): string {
    const isCompressed = response.headers["content-encoding"] === "gzip";
    return (isCompressed ? gunzipSync(data, { maxOutputLength: maxAnswerBytes }) : data).toString("utf8");
}
