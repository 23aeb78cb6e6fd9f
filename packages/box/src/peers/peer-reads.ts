/**
 * Reads over HTTP between boxes: the members that a box knows, and a whole copy
 * of one kind of shared state. Both ends stand here.
 *
 * Owns no connection beyond one read.
 */

import { type MemberRecord, type SharedKind, sharedKinds, type Snapshot } from "@chalkdale/decisions";
import { get, type IncomingMessage, type RequestListener, type ServerResponse } from "node:http";
import type { SnapshotReader, StatePeer } from "../state/snapshot-catch-up.js";
import { isSharedItem } from "../state/state-messages.js";
import type { TrafficPlace, TrafficPurpose } from "../traffic-meter.js";

const membersPath = "/members";
const statePath = "/state/";
/** Largest answer that is read, in bytes: sixteen times the largest value of the store. */
const largestAnswer = 16 * 1024 * 1024;
/** Milliseconds without a byte after which a read fails, as for calls of the store. Not measured. */
const readTimeout = 1500;

export interface PeerReadsOptions {
    readonly members: () => readonly MemberRecord[];
    /** The own copy of a kind, if there is one. */
    readonly snapshot: (kind: SharedKind) => Snapshot<unknown> | undefined;
}

/** Returns the listener that answers other boxes and the command line. */
export function createPeerListener(options: PeerReadsOptions): RequestListener {
    return (request: IncomingMessage, response: ServerResponse): void => {
        if (request.url === membersPath) {
            endWithJson(response, options.members());
            return;
        }
        const kind = sharedKinds.find(candidate => request.url === `${statePath}${candidate}`);
        const snapshot = kind === undefined ? undefined : options.snapshot(kind);
        if (snapshot === undefined) {
            response.writeHead(404).end();
            return;
        }
        endWithJson(response, snapshot);
    };
}

function endWithJson(response: ServerResponse, body: unknown): void {
    response.writeHead(200, { "content-type": "application/json", connection: "close" }).end(JSON.stringify(body));
}

/** Reads from other boxes; each rejects when the box doesn't answer, or with something else. */
export interface PeerReads {
    /** The members that another box knows. */
    readonly readMembers: (peer: StatePeer) => Promise<readonly MemberRecord[]>;
    /** A whole copy of one kind. */
    readonly readSnapshot: SnapshotReader;
}

export interface PeerReadsContext {
    readonly countTraffic: (purpose: TrafficPurpose, place: TrafficPlace, bytes: number) => void;
    readonly signal: AbortSignal;
}

/** Creates the reads of one box. */
export function createPeerReads({ countTraffic, signal }: PeerReadsContext): PeerReads {
    return {
        async readMembers(peer) {
            const text = await readText(peer, membersPath);
            countTraffic("members", peer, text.length);
            return JSON.parse(text) as MemberRecord[];
        },
        async readSnapshot(peer, kind) {
            const text = await readText(peer, `${statePath}${kind}`);
            countTraffic("snapshot", peer, text.length);
            const snapshot = JSON.parse(text) as Snapshot<never>;
            const { items, revision } = snapshot;
            if (!Number.isFinite(revision) || !Array.isArray(items) || !items.every(item => isSharedItem(kind, item))) {
                throw new Error("not a snapshot");
            }
            return snapshot;
        },
    };

    function readText(peer: StatePeer, path: string): Promise<string> {
        return read(`http://${peer.peerAddress}${path}`, signal);
    }
}

function read(url: string, signal: AbortSignal): Promise<string> {
    return new Promise((resolve, reject) => {
        const request = get(url, { agent: false, signal, timeout: readTimeout }, response => {
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
                resolve(Buffer.concat(chunks).toString("utf8"));
            });
        });
        request.on("timeout", () => request.destroy(new Error("no answer")));
        request.on("error", reject);
    });
}
