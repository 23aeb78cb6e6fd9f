/**
 * Stand-in for a caller that sends more requests over one connection before the
 * first one has its answer, and reads the answers in their order.
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
    /** An answer before it closed the connection: it counts as unread, and may be sent again whatever its kind. */
    | { readonly kind: "unread"; }
    /** The connection ended, and no answer had said so. */
    | { readonly kind: "lost"; };

/** A connection over which requests are sent without waiting. */
export interface PipeliningConnection {
    /** Sends at once; the outcomes come in the order of all requests of the connection. Never rejects. */
    readonly send: (requests: readonly PipelinedRequest[]) => Promise<PipelinedOutcome>[];
    /** Sends bytes that are counted as no request. */
    readonly sendBytes: (bytes: string) => void;
    /** What came while no request waited for an answer. */
    readonly unsolicitedBytes: () => string;
    /** False once an answer, or either side, has ended the connection. */
    readonly isOpen: () => boolean;
    /** Stops reading, so that answers pile up, and reads on. */
    readonly setReading: (reads: boolean) => void;
    /** Leaves by the end of the connection, or by a reset. */
    readonly leave: (by: "close" | "reset") => void;
    /** Resolves once the connection has ended. */
    readonly ended: Promise<void>;
}

interface Parsed extends ClientAnswer {
    /** Where the answer ends. */
    readonly end: number;
}

/** Opens a connection; requests may be sent at once. */
export function openPipeline(address: string): PipeliningConnection {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port), noDelay: true });
    const waiting: ((outcome: PipelinedOutcome) => void)[] = [];
    let received = Buffer.alloc(0);
    let isClosing = false;
    let hasEnded = false;

    socket.on("data", (chunk: Buffer) => {
        received = Buffer.concat([received, chunk]);
        readAnswers(false);
    });
    socket.on("end", () => readAnswers(true));
    socket.on("error", () => undefined);
    const ended = new Promise<void>(resolve => {
        socket.on("close", () => {
            hasEnded = true;
            dropWaiting({ kind: isClosing ? "unread" : "lost" });
            resolve();
        });
    });

    return {
        ended,
        send(requests) {
            const outcomes = requests.map(() =>
                new Promise<PipelinedOutcome>(resolve => {
                    if (isClosing || hasEnded) {
                        resolve({ kind: "unread" });
                        return;
                    }
                    waiting.push(resolve);
                })
            );
            if (!isClosing && !hasEnded) {
                socket.write(requests.map(textOf).join(""));
            }
            return outcomes;
        },
        sendBytes: bytes => {
            socket.write(bytes);
        },
        unsolicitedBytes: () => received.toString("latin1"),
        isOpen: () => !isClosing && !hasEnded,
        setReading: reads => {
            if (reads) {
                socket.resume();
            }
            else {
                socket.pause();
            }
        },
        leave(by) {
            if (by === "reset") {
                socket.resetAndDestroy();
                return;
            }
            socket.destroy();
        },
    };

    function readAnswers(isEnd: boolean): void {
        while (waiting.length > 0) {
            const parsed = parseAnswer(received, isEnd);
            if (parsed === undefined) {
                return;
            }
            received = received.subarray(parsed.end);
            if (parsed.status === 100) {
                continue;
            }
            const { body, headers, status } = parsed;
            waiting.shift()!({ kind: "answered", answer: { status, headers, body } });
            if (headers.connection === "close") {
                isClosing = true;
                dropWaiting({ kind: "unread" });
                socket.end();
            }
        }
    }

    function dropWaiting(outcome: PipelinedOutcome): void {
        waiting.splice(0).forEach(resolve => resolve(outcome));
    }
}

function textOf({ body, headers = {}, host, method = "GET", path, requestId }: PipelinedRequest): string {
    const length = body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) };
    const lines = Object.entries({ "Host": host, "Request-Id": requestId, ...headers, ...length })
        .map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body ?? ""}`;
}

/** Returns the answer at the beginning of the bytes once it is whole. An answer without a length is whole at the end. */
function parseAnswer(bytes: Buffer, isEnd: boolean): Parsed | undefined {
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
