/**
 * One request to one backend server and its whole answer.
 *
 * An answer counts only if it carries the request's id, is framed, and came
 * whole. Whatever else comes over the connection breaks the exchange, and the
 * connection is not used again.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import type { HeaderNames } from "../callers/caller-protocol.js";

/** A whole answer of a server. */
export interface ServerAnswer {
    readonly status: number;
    /** Names and values in turn, as received. */
    readonly rawHeaders: readonly string[];
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly body: Buffer;
    /** True if it had a length or chunks, which show whether it is whole. */
    readonly framed: boolean;
    /** True if the connection may carry another request. */
    readonly reusable: boolean;
}

/** How an exchange ended. */
export type ExchangeOutcome =
    | { readonly kind: "answer"; readonly answer: ServerAnswer; }
    /** The connection ended or spoiled the answer; the request may have run. `closedByServer`: the server's side ended the connection. */
    | { readonly kind: "broken"; readonly reason: string; readonly closedByServer?: boolean; }
    /** The owner aborted it. */
    | { readonly kind: "cancelled"; };

export interface ExchangeOptions {
    readonly socket: Socket;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly requestId: string | undefined;
    readonly headers: Pick<HeaderNames, "requestId">;
    readonly signal: AbortSignal;
    /** Called when the answer begins. */
    readonly onHead?: () => void;
}

/** Largest answer that is taken in whole, in bytes; downloads of 90 KB are usual. It bounds the memory of a box. */
const largestAnswer = 32 * 1024 * 1024;

/** Sends the request and resolves with how it ended. Never rejects. */
export function exchange(options: ExchangeOptions): Promise<ExchangeOutcome> {
    const { socket, signal } = options;
    return new Promise(resolve => {
        let settled = false;
        let request: ClientRequest;
        const onAbort = () => settle({ kind: "cancelled" });
        signal.addEventListener("abort", onAbort, { once: true });
        try {
            request = httpRequest({
                createConnection: () => socket,
                method: options.method,
                path: options.path,
                headers: options.rawHeaders as string[],
                setHost: false,
            });
        }
        catch (error) {
            settle({ kind: "broken", reason: String(error) });
            return;
        }
        // Without an agent Node takes every connection as the last of its kind, whatever the headers say.
        request.shouldKeepAlive = true;
        request.on(
            "error",
            (error: NodeJS.ErrnoException) =>
                settle({ kind: "broken", reason: error.message, closedByServer: isConnectionEnd(error) }),
        );
        let isComplete = () => false;
        request.on("close", () => {
            if (!isComplete()) {
                settle({ kind: "broken", reason: "closed without an answer", closedByServer: true });
            }
        });
        request.on("response", onResponse);
        request.end(options.body);

        function onResponse(response: IncomingMessage): void {
            options.onHead?.();
            const answeredId = response.headers[options.headers.requestId];
            if (options.requestId !== undefined && answeredId !== options.requestId) {
                settle({ kind: "broken", reason: "answer of another request" });
                return;
            }
            isComplete = () => response.complete;
            const chunks: Buffer[] = [];
            let size = 0;
            response.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
                size += chunk.length;
                if (size > largestAnswer) {
                    settle({ kind: "broken", reason: "answer too large" });
                }
            });
            response.on("error", error => settle({ kind: "broken", reason: error.message }));
            response.on("aborted", () => settle({ kind: "broken", reason: "answer cut off", closedByServer: true }));
            response.on("end", () => onEnd(response, chunks));
        }

        function onEnd(response: IncomingMessage, chunks: Buffer[]): void {
            if (!response.complete || !isFramed(response) && socket.errored) {
                settle({ kind: "broken", reason: "answer cut off" });
                return;
            }
            const isSent = request.writableFinished && socket.writableLength === 0;
            const reusable = isSent && request.shouldKeepAlive && !socket.destroyed;
            settle({
                kind: "answer",
                answer: {
                    status: response.statusCode ?? 0,
                    rawHeaders: response.rawHeaders,
                    headers: response.headers,
                    body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks),
                    framed: isFramed(response),
                    reusable,
                },
            });
        }

        function settle(outcome: ExchangeOutcome): void {
            if (settled) {
                return;
            }
            settled = true;
            signal.removeEventListener("abort", onAbort);
            if (outcome.kind !== "answer" || !outcome.answer.reusable) {
                socket.on("error", () => undefined);
                request?.on("error", () => undefined);
                end(outcome);
            }
            resolve(outcome);
        }

        /** Of a request that is given up nothing may arrive later: after an end in order the kernel would go on sending it. */
        function end(outcome: ExchangeOutcome): void {
            if (outcome.kind === "cancelled") {
                socket.resetAndDestroy();
                return;
            }
            socket.destroy();
        }
    });
}

/** Codes of an error by which a connection was ended or reset; others are of bytes that make no sense. */
const connectionEndCodes = new Set(["ECONNRESET", "EPIPE"]);

function isConnectionEnd({ code = "" }: NodeJS.ErrnoException): boolean {
    return connectionEndCodes.has(code);
}

function isFramed(response: IncomingMessage): boolean {
    return response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] !== undefined
        || statusesWithoutBody.has(response.statusCode ?? 0);
}

const statusesWithoutBody = new Set([204, 304]);

/** Milliseconds of a second, the unit of the header. */
const millisecondsOfSecond = 1000;
const keepAliveTimeout = /timeout=(\d+)/;

/** Reads how long a server keeps an idle connection, if it says so. */
export function readKeepAlive(headers: NodeJS.Dict<string | string[]>): Milliseconds | undefined {
    const match = keepAliveTimeout.exec(String(headers["keep-alive"] ?? ""));
    return match === null ? undefined : (Number(match[1]) * millisecondsOfSecond) as Milliseconds;
}
