/**
 * Reads over HTTP between boxes: the members that a box knows, and a whole copy
 * of one kind of shared state. Both ends stand here.
 *
 * Owns no connection beyond one read.
 */

import { type MemberRecord, type SharedKind, sharedKinds, type Snapshot } from "@chalkdale/decisions";
import { get, type IncomingMessage, type RequestListener, type ServerResponse } from "node:http";
import { isSharedItem } from "../state/state-messages.js";

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

/** Reads the members that another box knows. Rejects when it doesn't answer. */
export async function readPeerMembers(peer: string, signal: AbortSignal): Promise<readonly MemberRecord[]> {
    return JSON.parse(await read(`http://${peer}${membersPath}`, signal)) as MemberRecord[];
}

/** Reads a snapshot of a kind from another box. Rejects when it doesn't answer, or with something else. */
export async function readPeerSnapshot(peer: string, kind: SharedKind, signal: AbortSignal): Promise<Snapshot<never>> {
    const snapshot = JSON.parse(await read(`http://${peer}${statePath}${kind}`, signal)) as Snapshot<never>;
    const { items, revision } = snapshot;
    if (!Number.isFinite(revision) || !Array.isArray(items) || !items.every(item => isSharedItem(kind, item))) {
        throw new Error("not a snapshot");
    }
    return snapshot;
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
