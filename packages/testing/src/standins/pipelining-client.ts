/**
 * Stand-in for a caller that pipelines: it sends further requests over a connection before the first one is answered,
 * and matches the answers to the requests by their order.
 */

import { connect } from "node:net";
import type { ClientAnswer } from "./client.js";

/** One request of a pipeline. */
export interface PipelinedRequest {
    readonly host: string;
    readonly path: string;
    readonly requestId: string;
    readonly method?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** What became of a request. */
export type PipelinedOutcome =
    | { readonly kind: "answered"; readonly answer: ClientAnswer; }
    /** An earlier answer announced the close of the connection. The request was not read, so it may be repeated. */
    | { readonly kind: "unread"; }
    /** The connection ended without an answer that announced it. */
    | { readonly kind: "lost"; };

/** A connection over which requests are sent without waiting for answers. */
export interface PipeliningConnection {
    /** Sends the requests at once. Outcomes resolve in the order of the connection's requests and never reject. */
    readonly send: (requests: readonly PipelinedRequest[]) => Promise<PipelinedOutcome>[];
    /** Sends bytes for which no answer is expected. */
    readonly sendBytes: (bytes: string) => void;
    /** Bytes received while no request waited for an answer. */
    readonly unsolicitedBytes: () => string;
    /** False once an answer has announced the close of the connection, or it has ended. */
    readonly isOpen: () => boolean;
    /** Pauses or resumes reading; answers pile up meanwhile. */
    readonly setReading: (isReading: boolean) => void;
    /** Closes or resets the connection. */
    readonly leave: (by: "close" | "reset") => void;
    /** Resolves once the connection has ended. */
    readonly ended: Promise<void>;
}

interface ParsedAnswer extends ClientAnswer {
    /** Offset of the first byte after the answer. */
    readonly end: number;
}

/** Opens a connection; requests may be sent before it is established. */
export function openPipeline(address: string): PipeliningConnection {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port), noDelay: true });
    const pending: ((outcome: PipelinedOutcome) => void)[] = [];
    let received = Buffer.alloc(0);
    let isClosing = false;
    let isEnded = false;

    socket.on("data", (chunk: Buffer) => {
        received = Buffer.concat([received, chunk]);
        readAnswers(false);
    });
    socket.on("end", () => readAnswers(true));
    socket.on("error", () => undefined);
    const ended = new Promise<void>(resolve => {
        socket.on("close", () => {
            isEnded = true;
            resolveWaiting({ kind: isClosing ? "unread" : "lost" });
            resolve();
        });
    });

    return {
        ended,
        send(requests) {
            const outcomes = requests.map(() =>
                new Promise<PipelinedOutcome>(resolve => {
                    if (isClosing || isEnded) {
                        resolve({ kind: "unread" });
                        return;
                    }
                    pending.push(resolve);
                })
            );
            if (!isClosing && !isEnded) {
                socket.write(requests.map(formatRequest).join(""));
            }
            return outcomes;
        },
        sendBytes: bytes => {
            socket.write(bytes);
        },
        unsolicitedBytes: () => received.toString("latin1"),
        isOpen: () => !isClosing && !isEnded,
        setReading: isReading => {
            if (isReading) {
                socket.resume();
            }
            else {
                socket.pause();
            }
        },
        leave(by) {
            // Node would connect first, and send what was written before the reset.
            if (by === "reset" && !socket.connecting) {
                socket.resetAndDestroy();
                return;
            }
            socket.destroy();
        },
    };

    function readAnswers(isEnd: boolean): void {
        while (pending.length > 0) {
            const parsed = parseAnswer(received, isEnd);
            if (parsed === undefined) {
                return;
            }
            received = received.subarray(parsed.end);
            if (parsed.status === 100) {
                continue;
            }
            const { body, headers, status } = parsed;
            pending.shift()!({ kind: "answered", answer: { status, headers, body } });
            if (headers.connection === "close") {
                isClosing = true;
                resolveWaiting({ kind: "unread" });
                socket.end();
            }
        }
    }

    function resolveWaiting(outcome: PipelinedOutcome): void {
        pending.splice(0).forEach(resolve => resolve(outcome));
    }
}

function formatRequest({ body, headers = {}, host, method = "GET", path, requestId }: PipelinedRequest): string {
    const length = body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) };
    const lines = Object.entries({ "Host": host, "Request-Id": requestId, ...headers, ...length })
        .map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body ?? ""}`;
}

/**
 * Returns the answer at the beginning of the bytes, or undefined while it is incomplete. An answer without a length is
 * complete at the end of the connection.
 */
function parseAnswer(bytes: Buffer, isEnd: boolean): ParsedAnswer | undefined {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const status = Number(statusLine.split(" ")[1]);
    const start = headEnd + 4;
    const length = status === 100 ? "0" : headers["content-length"];
    const end = length === undefined ? bytes.length : start + Number(length);
    if (bytes.length < end || length === undefined && !isEnd) {
        return undefined;
    }
    return { status, headers, body: bytes.subarray(start, end).toString("utf8"), end };
}
