/**
 * One request to one backend server and its whole answer.
 *
 * An answer is accepted only if it carries the request's id and is complete;
 * `framed` says whether its length, its chunks or its status prove that. Whole answers to other requests are passed
 * over, and the connection is not reused after them. Any other data or error on the connection breaks the exchange.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { pauseReading, resumeReading } from "../backpressure.js";
import type { HeaderNames } from "../callers/caller-protocol.js";
import type { LoopShare } from "../loop-share.js";
import type { AnswerAccount, AnswerMemory } from "../requests/answer-memory.js";
import { type AnswerBody, createAnswerBody } from "./answer-body.js";
import { type AnswerFeed, bodyLengthOf, feedAnswers } from "./answer-feed.js";

/** A complete answer of a server. */
export interface ServerAnswer {
    readonly status: number;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly body: AnswerBody;
    /** True if a length, chunks or a status without a body show that it is complete. */
    readonly framed: boolean;
    /** True if the connection may carry another request. */
    readonly reusable: boolean;
}

/** How an exchange ended. */
export type ExchangeOutcome =
    | { readonly kind: "answer"; readonly answer: ServerAnswer; }
    /**
     * The connection ended, or it carried no valid answer; the request may have run. `closedByServer`: the server
     * closed the connection.
     */
    | { readonly kind: "broken"; readonly reason: string; readonly closedByServer?: boolean; }
    /** Aborted by `ExchangeOptions.signal`. */
    | { readonly kind: "cancelled"; };

/** The caller of a request, as the box knows it. */
export interface ConfirmedCaller {
    /** True while the latest confirmation is recent: the process was not held up since. */
    readonly isConfirmed: () => boolean;
    /** Resolves with false if the caller has left, once everything was read that has arrived from it. Never rejects. */
    readonly confirm: () => Promise<boolean>;
}

export interface ExchangeOptions {
    readonly socket: Socket;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly requestId: string | undefined;
    readonly headers: Pick<HeaderNames, "requestId">;
    readonly signal: AbortSignal;
    readonly loopShare: Pick<LoopShare, "run">;
    readonly memory: Pick<AnswerMemory, "open">;
    /** Who waits for the answer, checked at the last moment before the first byte. */
    readonly caller: ConfirmedCaller;
    /** Called when the head of the answer arrives. */
    readonly onHead?: () => void;
}

/** Bytes of the largest answer; typical downloads have 90 KB. */
const maxAnswerBytes = 32 * 1024 * 1024;

/** Sends the request and resolves to its outcome. Never rejects. */
export function exchange(options: ExchangeOptions): Promise<ExchangeOutcome> {
    const { socket, signal } = options;
    return new Promise(resolve => {
        let settled = false;
        let request: ClientRequest;
        let feed: AnswerFeed | undefined;
        let isComplete = () => false;
        let body = createAnswerBody(undefined);
        let account: AnswerAccount | undefined;
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
        // Without an agent, Node treats each connection as not reusable, whatever the headers say.
        request.shouldKeepAlive = true;
        request.on("error", onError);
        socket.on("error", onError);
        socket.on("close", onClose);
        // Node assigns the socket in a later tick; from then on it writes at once.
        request.on("socket", () => {
            if (settled) {
                return;
            }
            feed = feedAnswers({
                socket,
                request,
                method: options.method,
                isOwn,
                onAnswer,
                bodyBytes: () => body.size(),
                onError,
                loopShare: options.loopShare,
            });
            send().catch((error: unknown) => settle({ kind: "broken", reason: String(error) }));
        });

        function onError(error: NodeJS.ErrnoException): void {
            settle({ kind: "broken", reason: error.message, closedByServer: isConnectionEnd(error) });
        }

        function onClose(): void {
            if (!isComplete()) {
                settle({ kind: "broken", reason: "closed without an answer", closedByServer: true });
            }
        }

        /** Writes the request, in the tick in which its caller is found to be confirmed. */
        async function send(): Promise<void> {
            if (!options.caller.isConfirmed() && !await options.caller.confirm()) {
                settle({ kind: "cancelled" });
            }
            if (!settled) {
                request.end(options.body);
            }
        }

        function isOwn({ headers }: IncomingMessage): boolean {
            const answeredId = headers[options.headers.requestId];
            return answeredId === options.requestId || options.requestId === undefined && answeredId === "";
        }

        function onAnswer(response: IncomingMessage): void {
            options.onHead?.();
            isComplete = () => response.complete;
            const length = bodyLengthOf(response, options.method);
            if (length !== undefined && length > maxAnswerBytes) {
                settle({ kind: "broken", reason: "answer too large" });
                return;
            }
            body = createAnswerBody(length);
            const answerAccount = options.memory.open();
            account = answerAccount;
            answerAccount.listen(
                () => {
                    response.resume();
                    resumeReading(socket, "bodyMemory");
                },
                () => settle({ kind: "broken", reason: "answer stalled" }),
            );
            response.on("data", (chunk: Buffer) => {
                if (settled) {
                    return;
                }
                if (body.size() + chunk.length > maxAnswerBytes) {
                    settle({ kind: "broken", reason: "answer too large" });
                    return;
                }
                body.add(chunk);
                answerAccount.recordReceived(body.size(), body.held());
                if (body.size() !== length && !answerAccount.mayRead(length)) {
                    waitForMemory(response, answerAccount);
                }
            });
            response.on("error", error => settle({ kind: "broken", reason: error.message }));
            response.on("aborted", () => settle({ kind: "broken", reason: "answer truncated", closedByServer: true }));
            response.on("end", () => onEnd(response));
        }

        function waitForMemory(response: IncomingMessage, { mayWait }: AnswerAccount): void {
            if (!mayWait()) {
                settle({ kind: "broken", reason: "no memory for the answer" });
                return;
            }
            response.pause();
            pauseReading(socket, "bodyMemory");
        }

        function onEnd(response: IncomingMessage): void {
            const wasReset = Boolean(socket.errored) || feed?.wasReset() === true;
            if (!response.complete || !isFramed(response) && wasReset) {
                settle({ kind: "broken", reason: "answer truncated" });
                return;
            }
            account?.markComplete();
            const isSent = request.writableFinished && socket.writableLength === 0;
            // The copies of an answer to a request without an id can't be told from the answer to the next one.
            const isExact = feed?.hasSurplus() === false && options.requestId !== undefined;
            const reusable = isSent && isExact && request.shouldKeepAlive && !socket.destroyed;
            settle({
                kind: "answer",
                answer: {
                    status: response.statusCode ?? 0,
                    rawHeaders: response.rawHeaders,
                    headers: response.headers,
                    body: body.take(),
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
            feed?.stop();
            if (outcome.kind !== "answer") {
                body.take();
                account?.close();
            }
            account?.listen(() => undefined, () => undefined);
            resumeReading(socket, "bodyMemory");
            socket.removeListener("error", onError);
            socket.removeListener("close", onClose);
            if (outcome.kind !== "answer" || !outcome.answer.reusable) {
                socket.on("error", () => undefined);
                request?.on("error", () => undefined);
                closeSocket(outcome);
            }
            resolve(outcome);
        }

        /**
         * Resets the connection of a cancelled request: after an orderly close the kernel would still send its buffered
         * bytes.
         */
        function closeSocket(outcome: ExchangeOutcome): void {
            if (outcome.kind === "cancelled") {
                socket.resetAndDestroy();
                return;
            }
            socket.destroy();
        }
    });
}

/**
 * Error codes of a connection that was closed or reset. Other errors mean that the received bytes are not valid HTTP.
 */
const connectionEndCodes = new Set(["ECONNRESET", "EPIPE"]);

function isConnectionEnd({ code = "" }: NodeJS.ErrnoException): boolean {
    return connectionEndCodes.has(code);
}

function isFramed(response: IncomingMessage): boolean {
    return response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] !== undefined
        || statusesWithoutBody.has(response.statusCode ?? 0);
}

const statusesWithoutBody = new Set([204, 304]);

/** The Keep-Alive header gives its timeout in seconds. */
const millisecondsPerSecond = 1000;
const keepAliveTimeout = /timeout=(\d+)/;

/** Reads how long a server keeps idle connections open; undefined if its answer does not say. */
export function readKeepAlive(headers: NodeJS.Dict<string | string[]>): Milliseconds | undefined {
    const match = keepAliveTimeout.exec(String(headers["keep-alive"] ?? ""));
    return match === null ? undefined : (Number(match[1]) * millisecondsPerSecond) as Milliseconds;
}
