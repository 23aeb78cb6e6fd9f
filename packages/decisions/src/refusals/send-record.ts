/**
 * Records each send of one request: which server it went to, over which connection or through which box, and what came
 * of it. A send is recorded before its first byte leaves this process, and none begins once it is proven that the request
 * has not run.
 *
 * Owns the record of one request; the attempts of the request write it.
 */

import type { BackendServerId, BoxId } from "@chalkdale/kernel";

/** How a request leaves this box. */
export type SendPath =
    /** Over a connection to the server; `localPort` is its port at this box, undefined if the connection has ended. */
    | { readonly kind: "connection"; readonly localPort: number | undefined; }
    /** Through another box, which may send it or refuse to. */
    | { readonly kind: "box"; readonly box: BoxId; };

/** What came of a send. */
export type SendResult =
    /** The box that it was handed to states that it has sent nothing. */
    | { readonly kind: "notSent"; readonly reason: string; }
    /** The server states that it did not run the request. */
    | { readonly kind: "notRun"; readonly status: number; }
    /** Any other answer. */
    | { readonly kind: "answered"; readonly status: number; }
    /** No whole answer. */
    | { readonly kind: "noAnswer"; readonly reason: string; };

declare const proofBrand: unique symbol;

/** Proof that a request has not run and never will; only the record of its sends gives it. */
interface NotRunProof {
    readonly [proofBrand]: true;
}

/** One send that has begun. */
export interface Send {
    /** Records what came of it; calls after the first have no effect. */
    readonly end: (result: SendResult) => void;
}

/** The sends of one request, in the order in which they began. */
export interface SendRecord {
    /** Records a send that is about to begin; undefined if it must not, because a proof was given. */
    readonly begin: (server: BackendServerId, path: SendPath) => Send | undefined;
    /**
     * Returns the proof if nothing was sent or each send was answered "not run", and then lets no further send begin;
     * undefined if a server may have run the request.
     */
    readonly proveNotRun: () => NotRunProof | undefined;
    /** True unless nothing was sent or each send was answered "not run"; unlike the proof, it prevents no later send. */
    readonly mayHaveRun: () => boolean;
    /** Describes each send for the log; undefined if there was none. */
    readonly describe: () => string | undefined;
}

interface RecordedSend {
    readonly server: BackendServerId;
    readonly path: SendPath;
    /** Undefined until something is known. */
    result: SendResult | undefined;
}

/** Creates the record of a request that was not sent. */
export function createSendRecord(): SendRecord {
    const sends: RecordedSend[] = [];
    let isProven = false;

    return {
        begin(server, path) {
            if (isProven) {
                return undefined;
            }
            const send: RecordedSend = { server, path, result: undefined };
            sends.push(send);
            return {
                end(result) {
                    send.result ??= result;
                },
            };
        },
        proveNotRun() {
            isProven ||= !mayHaveRun();
            return isProven ? {} as NotRunProof : undefined;
        },
        mayHaveRun,
        describe: () => sends.map(describeSend).join(";") || undefined,
    };

    function mayHaveRun(): boolean {
        return sends.some(({ result }) => result?.kind !== "notSent" && result?.kind !== "notRun");
    }
}

function describeSend({ path, result, server }: RecordedSend): string {
    return `${server}@${describePath(path)}:${describeResult(result)}`;
}

function describePath(path: SendPath): string {
    switch (path.kind) {
        case "connection":
            return `port ${path.localPort ?? "unknown"}`;
        case "box":
            return `box ${path.box}`;
    }
}

function describeResult(result: SendResult | undefined): string {
    switch (result?.kind) {
        case undefined:
            return "unanswered";
        case "notSent":
            return `not sent, ${result.reason}`;
        case "notRun":
            return `not run, status ${result.status}`;
        case "answered":
            return `status ${result.status}`;
        case "noAnswer":
            return `no answer, ${result.reason}`;
    }
}
