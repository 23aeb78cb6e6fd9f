/**
 * Messages between a box whose path to a server is cut and the box that forwards an attempt for it. Their format is a
 * protocol between boxes of different releases.
 *
 * A message is one line of JSON, its head, followed by the bytes of a body. Owns nothing; heads are validated in full
 * before use.
 */

import { bodyOf } from "../servers/answer-body.js";
import type { ServerAnswer } from "../servers/exchange.js";

/** Path of the endpoint that forwards an attempt. */
export const attemptsPath = "/attempts";
/** Prefix of the endpoint that tells whether the box reaches a server; followed by the server's id. */
export const reachPathPrefix = "/reach/";

/** The request of an attempt to be forwarded; its body is that of the caller's request. */
export interface ForwardedRequestHead {
    /** Id of the only server that may run it. */
    readonly server: string;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    /** Names and values alternating, without the headers that an attempt sets. */
    readonly rawHeaders: readonly string[];
    readonly requestId?: string;
    /** Milliseconds until the request's deadline. */
    readonly timeLeft: number;
    readonly isIdempotent: boolean;
    /** True if the sender knows the refusal `heldUp`; boxes of earlier releases don't set it. */
    readonly knowsHeldUp?: boolean;
}

/** Why a box does not forward an attempt; nothing was sent to the server. */
export type ForwardingRefusal =
    /** The box itself does not reach the server. */
    | "unreachable"
    /** The box does not know the server, or must not send to it. */
    | "outOfService"
    /** The box is shutting down, or has as many attempts in progress as it takes. */
    | "busy"
    /** The message may have been unread for a while: its sender is asked to confirm the caller and to send it again. */
    | "heldUp"
    /** The message is invalid, or its sender is no box. */
    | "invalid";

/** The refusal of a box, sent with status 503. */
export interface ForwardingRefusalHead {
    readonly refusal: ForwardingRefusal;
}

/** How a forwarded attempt ended at the server; sent with status 200, whose head leaves when the request is sent. */
export type ForwardedEndHead =
    /** The body of the message is that of the answer. */
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly rawHeaders: readonly string[];
        /** See `ServerAnswer.framed`. */
        readonly framed: boolean;
    }
    | { readonly kind: "broken"; readonly reason: string; readonly closedByServer: boolean; };

/** The answer of the endpoint for reach. */
export interface ReachAnswer {
    readonly reaches: boolean;
}

const refusals: ReadonlySet<string> = new Set<ForwardingRefusal>([
    "unreachable",
    "outOfService",
    "busy",
    "heldUp",
    "invalid",
]);
const lineEnd = 0x0a;

/** Encodes a message as its head line and its body. */
export function encodeMessage(
    head: ForwardedRequestHead | ForwardedEndHead,
    body: readonly Buffer[],
): readonly Buffer[] {
    return [Buffer.from(`${JSON.stringify(head)}\n`), ...body];
}

/** Splits a message into the parsed value of its head line and its body; undefined if it has no valid head line. */
export function decodeMessage(message: Buffer): { readonly head: unknown; readonly body: Buffer; } | undefined {
    const end = message.indexOf(lineEnd);
    if (end < 0) {
        return undefined;
    }
    const head = parseJson(message.toString("utf8", 0, end));
    return head === undefined ? undefined : { head, body: message.subarray(end + 1) };
}

/** Parses JSON; undefined if the text is not valid. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

/** True for a valid head of a request. */
export function isForwardedRequestHead(value: unknown): value is ForwardedRequestHead {
    const head = value as Partial<ForwardedRequestHead> | null;
    return typeof head === "object" && head !== null
        && typeof head.server === "string"
        && typeof head.method === "string"
        && typeof head.path === "string"
        && areRawHeaders(head.rawHeaders)
        && (head.requestId === undefined || typeof head.requestId === "string")
        && Number.isFinite(head.timeLeft)
        && typeof head.isIdempotent === "boolean"
        && (head.knowsHeldUp === undefined || typeof head.knowsHeldUp === "boolean");
}

/** True for a valid refusal. */
export function isForwardingRefusalHead(value: unknown): value is ForwardingRefusalHead {
    const head = value as Partial<ForwardingRefusalHead> | null;
    return typeof head === "object" && head !== null
        && typeof head.refusal === "string" && refusals.has(head.refusal);
}

/** True for a valid head of an end. */
export function isForwardedEndHead(value: unknown): value is ForwardedEndHead {
    const head = value as Partial<ForwardedEndHead> | null;
    if (typeof head !== "object" || head === null) {
        return false;
    }
    switch (head.kind) {
        case "answer":
            return Number.isInteger(head.status) && areRawHeaders(head.rawHeaders) && typeof head.framed === "boolean";
        case "broken":
            return typeof head.reason === "string" && typeof head.closedByServer === "boolean";
        default:
            return false;
    }
}

/** True for a valid answer of the endpoint for reach. */
export function isReachAnswer(value: unknown): value is ReachAnswer {
    return typeof value === "object" && value !== null && typeof (value as ReachAnswer).reaches === "boolean";
}

/** Builds the server's answer from a forwarded one. */
export function answerOf(head: ForwardedEndHead & { readonly kind: "answer"; }, body: Buffer): ServerAnswer {
    const { framed, rawHeaders, status } = head;
    return { status, rawHeaders, headers: headersOf(rawHeaders), body: bodyOf(body), framed, reusable: false };
}

/** Joins values of the same name as Node does for the headers that a box reads. */
function headersOf(rawHeaders: readonly string[]): NodeJS.Dict<string> {
    const headers: NodeJS.Dict<string> = {};
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        const earlier = headers[name];
        headers[name] = earlier === undefined ? rawHeaders[index + 1] : `${earlier}, ${rawHeaders[index + 1]}`;
    }
    return headers;
}

function areRawHeaders(value: unknown): value is readonly string[] {
    return Array.isArray(value) && value.length % 2 === 0 && value.every(part => typeof part === "string");
}
