/**
 * The answers of a stand-in server, sound and spoiled, as they go on the wire.
 */

import type { IncomingMessage, ServerResponse } from "node:http";

/** What the server does with a request. */
export type ServerBehaviour =
    | { readonly kind: "serve"; }
    /** Not run; `includesLoad`: and says how many slots are taken; `retryAfter`: wants nothing for so long, as it stands in the header. */
    | { readonly kind: "shed"; readonly includesLoad?: boolean; readonly retryAfter?: string; }
    /** A failure of its own, after it ran. */
    | { readonly kind: "fail"; readonly status: number; }
    /** Runs, then its answer is lost with the connection. */
    | { readonly kind: "loseAnswer"; readonly by: "close" | "reset" | "silence"; }
    /** Ends the answer early. */
    | { readonly kind: "breakOff"; readonly by: "close" | "reset"; }
    /** Answers without a length and ends the connection. */
    | { readonly kind: "unframed"; }
    /** A second answer follows the first, at once or a little later. */
    | { readonly kind: "extra"; readonly afterMs: number; }
    /** Bytes that are no answer. */
    | { readonly kind: "garbage"; }
    /** Answers before it has read the body, then reads on. */
    | { readonly kind: "early"; }
    /** Says before it has read the body that it does not run the request, and drops the connection. */
    | { readonly kind: "shedAndDrop"; };

/** What an answer says. */
export interface AnswerContent {
    readonly text: string;
    readonly headers: Readonly<Record<string, string>>;
}

/** Writes the answer to a request that ran, as the behaviour has it. */
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
        case "fail":
            response.writeHead(behaviour.status, headers).end(text);
            return;
        case "loseAnswer":
            endBy(request, behaviour.by);
            return;
        case "breakOff":
            socket.write(framed + text.slice(0, text.length / 2), () => endBy(request, behaviour.by));
            return;
        case "unframed":
            socket.end(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n${text}`);
            return;
        case "extra":
            socket.write(framed + text);
            setTimeout(() => socket.write(framed + text), behaviour.afterMs);
            return;
        case "garbage":
            socket.write("this is no answer\r\n\r\n");
            return;
    }
}

function endBy(request: IncomingMessage, by: "close" | "reset" | "silence"): void {
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
