/**
 * The behaviours of a stand-in server, correct and faulty, and how each answer is written to the connection.
 */

import { type IncomingMessage, type ServerResponse, STATUS_CODES } from "node:http";
import { type EndlessAnswer, sendEndlessAnswer } from "./endless-bytes.js";

/** What the server does with a request. */
export type ServerBehaviour =
    | { readonly kind: "serve"; }
    /**
     * Refuses the request without running it, at once or after a delay in milliseconds, with status 503 unless
     * `status` says otherwise. `includesLoad` adds the load header; `retryAfter` is a header's text; `copyAfterMs` sends
     * the answer once more after that time, even while the server works on a later request of the connection.
     */
    | {
        readonly kind: "shed";
        readonly includesLoad?: boolean;
        readonly retryAfter?: string;
        readonly afterMs?: number;
        readonly status?: 421 | 429 | 503;
        readonly copyAfterMs?: number;
    }
    /** Runs the request, then answers with a body of this many bytes, without a length unless `isFramed`. */
    | { readonly kind: "large"; readonly bytes: number; readonly isFramed: boolean; }
    /** Runs the request, then answers with an error status, without Not-Run; `retryAfter` is a header's text. */
    | { readonly kind: "fail"; readonly status: number; readonly retryAfter?: string; }
    /** Runs the request, then ends the connection or stays silent instead of answering. */
    | { readonly kind: "loseAnswer"; readonly by: "close" | "reset" | "silence"; }
    /** Ends the connection in the middle of the answer. */
    | { readonly kind: "breakOff"; readonly by: "close" | "reset"; }
    /** Answers without a length and ends the connection. */
    | { readonly kind: "unframed"; }
    /** Sends a second answer after the first, at once or after a delay. */
    | { readonly kind: "extra"; readonly afterMs: number; }
    /** Runs the request, then sends bytes until the box closes the connection. */
    | { readonly kind: "endless"; readonly bytes: EndlessAnswer; readonly pauseBetweenWrites?: number; }
    /** Runs the request, then sends a whole answer with this text in place of a status, such as `000`. */
    | { readonly kind: "oddStatus"; readonly status: string; }
    /** Sends bytes that are not an HTTP answer. */
    | { readonly kind: "garbage"; }
    /** Answers before it has read the body, and then reads the body. */
    | { readonly kind: "early"; }
    /** Refuses the request without running it, before it has read the body, and closes the connection. */
    | { readonly kind: "shedAndDrop"; };

/** Body and headers of an answer. */
export interface AnswerContent {
    readonly text: string;
    readonly headers: Readonly<Record<string, string>>;
}

/** Writes the answer to a request that ran, in the way that the behaviour prescribes. */
export function writeAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    { headers, text }: AnswerContent,
    behaviour: ServerBehaviour,
): void {
    const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const framed = `HTTP/1.1 200 OK\r\n${head}Content-Length: ${text.length}\r\n\r\n`;
    const { socket } = request;
    switch (behaviour.kind) {
        case "serve":
        case "shed":
        case "early":
        case "shedAndDrop":
            response.writeHead(200, headers).end(text);
            return;
        case "large":
            if (!behaviour.isFramed) {
                socket.write(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n`);
                socket.end(Buffer.alloc(behaviour.bytes));
                return;
            }
            response.writeHead(200, { ...headers, "Content-Length": behaviour.bytes }).end(
                Buffer.alloc(behaviour.bytes),
            );
            return;
        case "fail":
            response.writeHead(behaviour.status, {
                ...headers,
                ...behaviour.retryAfter === undefined ? {} : { "Retry-After": behaviour.retryAfter },
            }).end(text);
            return;
        case "loseAnswer":
            endConnection(request, behaviour.by);
            return;
        case "breakOff":
            socket.write(framed + text.slice(0, text.length / 2), () => endConnection(request, behaviour.by));
            return;
        case "unframed":
            socket.end(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n${text}`);
            return;
        case "extra":
            // Through Node's server, which would otherwise hold back its answers to later requests of the connection.
            response.writeHead(200, { ...headers, "Content-Length": text.length }).end(text);
            setTimeout(() => socket.destroyed || socket.write(framed + text), behaviour.afterMs).unref();
            return;
        case "endless":
            sendEndlessAnswer(socket, behaviour.bytes, headers, behaviour.pauseBetweenWrites);
            return;
        case "oddStatus":
            socket.write(`HTTP/1.1 ${behaviour.status} Odd\r\n${head}Content-Length: ${text.length}\r\n\r\n${text}`);
            return;
        case "garbage":
            socket.write("this is no answer\r\n\r\n");
            return;
    }
}

/** Sends an answer without a body once more, after a delay in milliseconds. */
export function sendCopyAfter(
    { socket }: IncomingMessage,
    { headers, status }: { readonly headers: Readonly<Record<string, string>>; readonly status: number; },
    delay: number,
): void {
    const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    setTimeout(() => {
        if (!socket.destroyed) {
            socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${head}Content-Length: 0\r\n\r\n`);
        }
    }, delay).unref();
}

function endConnection(request: IncomingMessage, by: "close" | "reset" | "silence"): void {
    switch (by) {
        case "close":
            request.socket.end();
            return;
        case "reset":
            request.socket.resetAndDestroy();
            return;
        case "silence":
            return;
    }
}
