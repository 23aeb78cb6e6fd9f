/**
 * Feeds the bytes that a backend server sends to Node's HTTP parser, one answer after the other, until the answer to
 * the request of an exchange has begun. Answers to other requests are passed over.
 *
 * Node's parser belongs to one request and takes the first answer for its own. So it gets the heads of answers piece by
 * piece; after the answer to another request, whose end is found by its length or its chunks, the rest goes to the
 * parser of a request that is written to no server.
 *
 * Owns the position in the received bytes and the parsers after the first; relies on Node's client reading through a
 * `data` listener of the socket, and on its parser accepting a head only if it ends with an empty line after CR LF.
 */

import { describeOddStatus, hasExcessFraming, isFinalStatus } from "@chalkdale/decisions";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { pauseReading, resumeReading } from "../backpressure.js";
import type { LoopShare } from "../loop-share.js";
import { hasEndedByReset } from "./connection-end.js";

export interface AnswerFeedOptions {
    readonly socket: Socket;
    /** The request of the exchange, once Node has assigned the socket to it. */
    readonly request: ClientRequest;
    readonly method: string;
    /** True for the answer to the request of the exchange. */
    readonly isOwn: (response: IncomingMessage) => boolean;
    /** Called with the head of the answer; its body is read from the response. */
    readonly onAnswer: (response: IncomingMessage) => void;
    /** Bytes of the body that were read from the response. */
    readonly bodyBytes: () => number;
    /** Called when the bytes are no answer, or the answer can't be found in them. */
    readonly onError: (error: Error) => void;
    /** The time that received bytes take is charged to the connection. */
    readonly loopShare: Pick<LoopShare, "run">;
}

/** Reads the answers on one connection. */
export interface AnswerFeed {
    /** True if the answer to another request was passed over, or bytes followed the answer. */
    readonly hasSurplus: () => boolean;
    /** True once the connection has ended by a reset, even if the socket reports no error. */
    readonly wasReset: () => boolean;
    /** Stops feeding; the socket keeps no listener of the feed. */
    readonly stop: () => void;
}

/** A parser, and the stream that Node takes for its connection. */
interface Parser {
    readonly stream: Duplex;
    readonly parse: (bytes: Buffer) => void;
}

/** What the next bytes belong to. */
type Position =
    /** The head of an answer, or interim answers. */
    | { readonly kind: "head"; }
    /** The body of the answer to the request; `left` is undefined if its length is not announced. */
    | { readonly kind: "body"; readonly response: IncomingMessage; left: number | undefined; }
    /** A body with an announced length, to be passed over. */
    | { readonly kind: "surplusBody"; left: number; }
    /** A body in chunks, to be passed over. */
    | { readonly kind: "surplusChunks"; readonly response: IncomingMessage; }
    /** The next answer, for which there is no parser yet. */
    | { readonly kind: "betweenAnswers"; };

/**
 * Bytes that are fed before it is checked again whether they become an answer: thousands of tiny chunks or of interim
 * answers fit into one read.
 */
const maxUncheckedBytes = 8 * 1024;
const headEnd = "\r\n\r\n";
const lineFeed = 0x0a;
const emptyBytes = Buffer.alloc(0);
const statusesWithoutBody = new Set([204, 304]);

/** Starts to feed what arrives on the socket. */
export function feedAnswers(options: AnswerFeedOptions): AnswerFeed {
    const { method, socket } = options;
    let parser = detachParser(socket);
    let position: Position = { kind: "head" };
    /** The last bytes of the head so far: its end may arrive in two parts. */
    let headTail: Buffer = emptyBytes;
    /** Bytes that arrived between two answers. */
    let waiting: readonly Buffer[] = [];
    let hasSurplus = false;
    let total = 0;
    let heads = 0;
    /** Bytes of the bodies of answers to other requests. */
    let surplusBodies = 0;
    let wasReset = false;
    let isStopped = false;

    listenToAnswers(options.request);
    socket.on("data", onData);
    // Node's client ends its side in its own listener.
    socket.prependListener("end", noteReset);
    socket.on("end", onEnd);

    return { hasSurplus: () => hasSurplus, wasReset: () => wasReset, stop };

    function stop(): void {
        isStopped = true;
        waiting = [];
        socket.removeListener("data", onData);
        socket.removeListener("end", noteReset);
        socket.removeListener("end", onEnd);
        resumeReading(socket, "betweenAnswers");
    }

    function listenToAnswers(request: ClientRequest): void {
        request.on("response", onResponse);
        // Without this listener Node frees the parser without a word, and what follows the head has none.
        request.on("upgrade", () => options.onError(new Error("change of protocol that was not asked for")));
    }

    function onData(bytes: Buffer): void {
        options.loopShare.run(socket, () => guard(() => feed(bytes)));
    }

    /** Runs what handles received bytes: an error in it breaks the exchange, and must not end the process. */
    function guard(handle: () => void): void {
        try {
            handle();
        }
        catch (error) {
            options.onError(error instanceof Error ? error : new Error(String(error)));
        }
    }

    function feed(bytes: Buffer): void {
        let rest = bytes;
        while (rest.length > 0 && !isStopped) {
            if (isOwnBodyComplete()) {
                hasSurplus = true;
                return;
            }
            const part = isLengthKnown() ? rest : rest.subarray(0, maxUncheckedBytes);
            // What waits for a parser is counted once it is fed.
            const isWaiting = position.kind === "betweenAnswers";
            const length = feedNext(part);
            rest = rest.subarray(length);
            total += isWaiting ? 0 : length;
            if (!isStopped && hasExcessFraming({ total, bodies: bodyBytes(), heads })) {
                options.onError(new Error("too many bytes that belong to no body"));
                return;
            }
        }
    }

    function isOwnBodyComplete(): boolean {
        return position.kind === "body" && (position.left === 0 || position.response.complete);
    }

    /** True if the next bytes belong to a body with an announced length, or wait for a parser. */
    function isLengthKnown(): boolean {
        switch (position.kind) {
            case "head":
            case "surplusChunks":
                return false;
            case "body":
                return position.left !== undefined;
            case "surplusBody":
            case "betweenAnswers":
                return true;
        }
    }

    /** Bytes of bodies among those that were fed, whether or not they were read from their response. */
    function bodyBytes(): number {
        switch (position.kind) {
            case "body":
                return surplusBodies + options.bodyBytes() + position.response.readableLength;
            case "surplusChunks":
                return surplusBodies + position.response.readableLength;
            case "head":
            case "surplusBody":
            case "betweenAnswers":
                return surplusBodies;
        }
    }

    /** Feeds the part of the bytes that belongs to the current position; returns its length. */
    function feedNext(bytes: Buffer): number {
        switch (position.kind) {
            case "head":
                return feedHead(bytes);
            case "body":
                return feedBody(position, bytes);
            case "surplusBody":
                return skipBody(position, bytes);
            case "surplusChunks":
                return skipChunks(position, bytes);
            case "betweenAnswers":
                waiting = [...waiting, bytes];
                return bytes.length;
        }
    }

    function feedHead(bytes: Buffer): number {
        const joined = headTail.length === 0 ? bytes : Buffer.concat([headTail, bytes]);
        const end = joined.indexOf(headEnd);
        const length = end < 0 ? bytes.length : end + headEnd.length - headTail.length;
        heads += end < 0 ? 0 : 1;
        headTail = end < 0 ? joined.subarray(Math.max(0, joined.length - headEnd.length + 1)) : emptyBytes;
        parser.parse(bytes.subarray(0, length));
        return length;
    }

    function feedBody(body: Position & { readonly kind: "body"; }, bytes: Buffer): number {
        const length = Math.min(bytes.length, body.left ?? Infinity);
        if (body.left !== undefined) {
            body.left -= length;
        }
        parser.parse(bytes.subarray(0, length));
        return length;
    }

    function skipBody(body: Position & { readonly kind: "surplusBody"; }, bytes: Buffer): number {
        const length = Math.min(bytes.length, body.left);
        body.left -= length;
        surplusBodies += length;
        if (body.left === 0) {
            expectNextAnswer();
        }
        return length;
    }

    /** Feeds one line: chunks and trailers end with a line, so nothing of the next answer is fed. */
    function skipChunks({ response }: Position & { readonly kind: "surplusChunks"; }, bytes: Buffer): number {
        const length = bytes.indexOf(lineFeed) + 1 || bytes.length;
        parser.parse(bytes.subarray(0, length));
        if (response.complete) {
            surplusBodies += response.readableLength;
            response.removeAllListeners("data").resume();
            expectNextAnswer();
        }
        return length;
    }

    function onResponse(response: IncomingMessage): void {
        if (isStopped) {
            return;
        }
        const { statusCode = 0 } = response;
        if (!isFinalStatus(statusCode)) {
            options.onError(new Error(describeOddStatus(statusCode)));
            return;
        }
        const length = bodyLengthOf(response, method);
        if (options.isOwn(response)) {
            position = { kind: "body", response, left: length };
            options.onAnswer(response);
            return;
        }
        hasSurplus = true;
        // Node's client would close the connection behind an answer that announces it, before the next one is read.
        options.request.shouldKeepAlive = true;
        response.on("error", () => undefined);
        response.on("data", (chunk: Buffer) => {
            surplusBodies += chunk.length;
        });
        if (response.headers["transfer-encoding"] !== undefined && length === undefined) {
            position = { kind: "surplusChunks", response };
        }
        else if (length === undefined) {
            options.onError(new Error("answer to another request, without a length"));
        }
        else if (length === 0) {
            expectNextAnswer();
        }
        else {
            position = { kind: "surplusBody", left: length };
        }
    }

    function expectNextAnswer(): void {
        position = { kind: "betweenAnswers" };
        pauseReading(socket, "betweenAnswers");
        const stream = createUnconnectedStream();
        const request = httpRequest({ createConnection: () => stream as Socket, method });
        request.shouldKeepAlive = true;
        listenToAnswers(request);
        request.on("error", error => {
            if (!isStopped) {
                options.onError(error);
            }
        });
        request.on("socket", () => {
            parser = detachParser(stream);
            position = { kind: "head" };
            const received = waiting;
            waiting = [];
            received.forEach(bytes => guard(() => feed(bytes)));
            resumeReading(socket, "betweenAnswers");
        });
        request.end();
    }

    function noteReset(): void {
        wasReset = hasEndedByReset(socket);
    }

    /** The first parser listens to the end of the socket itself. */
    function onEnd(): void {
        if (parser.stream !== socket) {
            guard(() => parser.stream.emit("end"));
        }
    }
}

/** Takes the listener by which Node's client reads the stream. */
function detachParser(stream: Duplex): Parser {
    const [listener] = stream.listeners("data") as ((this: Duplex, bytes: Buffer) => void)[];
    stream.removeListener("data", listener);
    return { stream, parse: bytes => listener.call(stream, bytes) };
}

/** A stream that reads nothing and discards what is written. */
function createUnconnectedStream(): Duplex {
    return new Duplex({
        read: () => undefined,
        write: (_bytes, _encoding, done) => done(),
    });
}

/** Returns the announced length of an answer's body, 0 if it can have none; undefined if none is announced. */
export function bodyLengthOf({ headers, statusCode = 0 }: IncomingMessage, method: string): number | undefined {
    if (method === "HEAD" || statusesWithoutBody.has(statusCode)) {
        return 0;
    }
    if (headers["transfer-encoding"] !== undefined || headers["content-length"] === undefined) {
        return undefined;
    }
    return Number(headers["content-length"]);
}
