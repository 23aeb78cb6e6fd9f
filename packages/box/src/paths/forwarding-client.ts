/**
 * Sends attempts through other boxes, and asks them which servers they reach.
 *
 * Owns the connections to these boxes; relies on its caller for the choice of the box. Until the other box states that
 * it has sent the request, its refusal means that nothing was sent; a connection that breaks means that the request may
 * have run.
 */

import { describeOddStatus, isFinalStatus, type MemberRecord } from "@chalkdale/decisions";
import type { BackendServerId, Milliseconds } from "@chalkdale/kernel";
import { splitAddress, startTimeout } from "@chalkdale/runtime";
import {
    Agent,
    type ClientRequest,
    type IncomingMessage,
    request as httpRequest,
    type RequestOptions,
} from "node:http";
import type { AnswerAccount, AnswerMemory } from "../requests/answer-memory.js";
import { createGrowingBuffer } from "../requests/growing-buffer.js";
import type { ServerAnswer } from "../servers/exchange.js";
import {
    answerOf,
    attemptsPath,
    decodeMessage,
    encodeMessage,
    type ForwardedRequestHead,
    type ForwardingRefusal,
    isForwardedEndHead,
    isForwardingRefusalHead,
    isReachAnswer,
    parseJson,
    reachPathPrefix,
} from "./forwarding-messages.js";

/** An attempt to send through another box. */
interface ForwardingCall {
    readonly box: MemberRecord;
    readonly head: ForwardedRequestHead;
    readonly body: Buffer;
    /** Time limit for opening a connection to the other box. */
    readonly connectTimeout: Milliseconds;
    /** Time limit from then until the other box has sent the request; undefined for none. */
    readonly sendTimeout: Milliseconds | undefined;
    readonly signal: AbortSignal;
    readonly answerMemory: Pick<AnswerMemory, "open">;
    /** Awaited before the request is written: the signal is aborted if the caller has left. */
    readonly confirmCaller: () => Promise<boolean>;
    /** Called immediately before the request is handed to the other box; false if it must not be. */
    readonly onHandOver: () => boolean;
    /** Called when the other box states that it has sent the request. */
    readonly onSent: () => void;
}

/** How an attempt through another box ended. */
export type ForwardingOutcome =
    /** Nothing was sent to the server. `unsupported`: the release of the box can't forward. */
    | { readonly kind: "notSent"; readonly reason: ForwardingRefusal | "noAnswer" | "unsupported"; }
    | { readonly kind: "answer"; readonly answer: ServerAnswer; }
    /** Broken between the other box and the server. */
    | { readonly kind: "broken"; readonly reason: string; readonly closedByServer: boolean; }
    /** The connection to the other box broke: it is unknown whether the request was sent. */
    | { readonly kind: "lost"; readonly reason: string; }
    /** Aborted by `ForwardingCall.signal`. `mayBeSent`: the other box had the request and has not refused it. */
    | { readonly kind: "cancelled"; readonly mayBeSent: boolean; };

/** Whether another box reaches a server. */
export type ReachReply = "reached" | "unreached" | "unsupported" | "noAnswer";

/** Calls to other boxes. */
export interface ForwardingClient {
    /** Never rejects. */
    readonly forward: (call: ForwardingCall) => Promise<ForwardingOutcome>;
    /** Asks a box whether it reaches a server. Never rejects. */
    readonly askReach: (box: MemberRecord, server: BackendServerId, timeout: Milliseconds) => Promise<ReachReply>;
}

/** Milliseconds for which an idle connection to a box is kept: less than for which boxes keep them. */
const idleTimeout = 3000;
/** Idle connections kept to one box. */
const maxIdleConnections = 32;
/** Bounds the memory of one answer; see `exchange`. */
const maxAnswerBytes = 33 * 1024 * 1024;
/** Bytes of the longest answer to a question about reach. */
const maxReachAnswerBytes = 4 * 1024;
/** Status of a path that an earlier release does not know. */
const statusNotFound = 404;
const statusSent = 200;

/** Creates the client of one box. `localAddress`: its own address, by which other boxes recognize it. */
export function createForwardingClient(localAddress: string, lifetime: AbortSignal): ForwardingClient {
    const agent = new Agent({ keepAlive: true, maxFreeSockets: maxIdleConnections, timeout: idleTimeout });
    lifetime.addEventListener("abort", () => agent.destroy(), { once: true });

    return { forward, askReach };

    function forward(call: ForwardingCall): Promise<ForwardingOutcome> {
        const { head, signal } = call;
        return new Promise(resolve => {
            let isConnected = false;
            let hasResponse = false;
            let settled = false;
            const parts = encodeMessage(head, [call.body]);
            const length = parts.reduce((sum, part) => sum + part.length, 0);
            if (signal.aborted) {
                resolve({ kind: "cancelled", mayBeSent: false });
                return;
            }
            const request = open(call.box, {
                method: "POST",
                path: attemptsPath,
                headers: { "content-length": length },
            });
            const onAbort = () => settle({ kind: "cancelled", mayBeSent: isConnected });
            signal.addEventListener("abort", onAbort, { once: true });
            let cancelTimeout = startTimeout(
                call.connectTimeout,
                () => settle({ kind: "notSent", reason: "noAnswer" }),
            );
            onConnected(request, () => void onOpen());
            request.on("error", error => settle(lostOrNotSent(error.message)));
            request.on("close", () => {
                if (!hasResponse) {
                    settle(lostOrNotSent("connection closed"));
                }
            });
            request.on("response", response => {
                onResponse(response).catch((error: unknown) => settle({ kind: "lost", reason: String(error) }));
            });

            async function onOpen(): Promise<void> {
                cancelTimeout();
                await call.confirmCaller();
                if (settled) {
                    return;
                }
                if (!call.onHandOver()) {
                    settle({ kind: "cancelled", mayBeSent: false });
                    return;
                }
                isConnected = true;
                if (call.sendTimeout !== undefined) {
                    cancelTimeout = startTimeout(
                        call.sendTimeout,
                        () => settle({ kind: "lost", reason: "box did not answer" }),
                    );
                }
                // Written only now: a request whose connection was never opened has certainly not been sent.
                parts.forEach(part => request.write(part));
                request.end();
            }

            async function onResponse(response: IncomingMessage): Promise<void> {
                hasResponse = true;
                cancelTimeout();
                const isSent = response.statusCode === statusSent;
                if (isSent && !settled) {
                    call.onSent();
                }
                const body = await readAll(response, call.answerMemory.open(), maxAnswerBytes);
                if (body === undefined) {
                    settle({ kind: "lost", reason: "answer of box truncated" });
                    return;
                }
                settle(isSent ? endOf(body) : refusalOf(response, body));
            }

            function lostOrNotSent(reason: string): ForwardingOutcome {
                return isConnected ? { kind: "lost", reason } : { kind: "notSent", reason: "noAnswer" };
            }

            function settle(outcome: ForwardingOutcome): void {
                if (settled) {
                    return;
                }
                settled = true;
                cancelTimeout();
                signal.removeEventListener("abort", onAbort);
                if (outcome.kind === "cancelled" || outcome.kind === "lost" || !isConnected) {
                    request.on("error", () => undefined);
                    request.destroy();
                }
                resolve(outcome);
            }
        });
    }

    function askReach(box: MemberRecord, server: BackendServerId, timeout: Milliseconds): Promise<ReachReply> {
        return new Promise(resolve => {
            const request = open(box, { method: "GET", path: `${reachPathPrefix}${encodeURIComponent(server)}` });
            const settle = (reply: ReachReply) => {
                cancelTimeout();
                request.on("error", () => undefined);
                if (reply === "noAnswer") {
                    request.destroy();
                }
                resolve(reply);
            };
            const cancelTimeout = startTimeout(timeout, () => settle("noAnswer"));
            request.on("error", () => settle("noAnswer"));
            request.on("response", response => {
                void readAll(response, unaccounted, maxReachAnswerBytes).then(body =>
                    settle(body === undefined ? "noAnswer" : replyOf(response, body))
                );
            });
            request.end();
        });
    }

    function open(box: MemberRecord, options: RequestOptions): ClientRequest {
        const { host, port } = splitAddress(box.peerAddress);
        return httpRequest({ host, port, localAddress, agent, ...options });
    }
}

/** Calls `listener` once the request has an open connection. */
function onConnected(request: ClientRequest, listener: () => void): void {
    request.once("socket", socket => {
        if (socket.connecting) {
            socket.once("connect", listener);
            return;
        }
        listener();
    });
}

/** The account of answers too short to wait for memory. */
const unaccounted: AnswerAccount = {
    mayRead: () => true,
    mayWait: () => true,
    markComplete: () => undefined,
    recordReceived: () => undefined,
    close: () => undefined,
    listen: () => undefined,
};

/** Resolves with the whole body; undefined if it is incomplete or too large, or there is no memory for it. */
function readAll(
    response: IncomingMessage,
    account: AnswerAccount,
    maxBytes: number,
): Promise<Buffer | undefined> {
    return new Promise(resolve => {
        const body = createGrowingBuffer(undefined);
        account.listen(() => response.resume(), () => response.destroy());
        response.on("data", (chunk: Buffer) => {
            if (body.size() + chunk.length > maxBytes) {
                response.destroy();
                return;
            }
            body.add(chunk);
            account.recordReceived(body.size(), body.held());
            if (account.mayRead()) {
                return;
            }
            if (account.mayWait()) {
                response.pause();
            }
            else {
                response.destroy();
            }
        });
        response.on("error", () => resolve(undefined));
        response.on("close", () => {
            account.listen(() => undefined, () => undefined);
            if (response.complete) {
                account.markComplete();
                resolve(body.take());
                return;
            }
            body.take();
            account.close();
            resolve(undefined);
        });
    });
}

function endOf(message: Buffer): ForwardingOutcome {
    const decoded = decodeMessage(message);
    if (decoded === undefined || !isForwardedEndHead(decoded.head)) {
        return { kind: "lost", reason: "answer of box is invalid" };
    }
    const { body, head } = decoded;
    switch (head.kind) {
        case "answer":
            // A box of an earlier release passes on any status.
            return isFinalStatus(head.status)
                ? { kind: "answer", answer: answerOf(head, body) }
                : { kind: "broken", reason: describeOddStatus(head.status), closedByServer: false };
        case "broken":
            return { kind: "broken", reason: head.reason, closedByServer: head.closedByServer };
    }
}

function refusalOf(response: IncomingMessage, body: Buffer): ForwardingOutcome {
    if (response.statusCode === statusNotFound) {
        return { kind: "notSent", reason: "unsupported" };
    }
    const head = parseJson(body.toString("utf8"));
    return isForwardingRefusalHead(head)
        ? { kind: "notSent", reason: head.refusal }
        : { kind: "lost", reason: `status ${response.statusCode} of box` };
}

function replyOf(response: IncomingMessage, body: Buffer): ReachReply {
    if (response.statusCode === statusNotFound) {
        return "unsupported";
    }
    const answer = parseJson(body.toString("utf8"));
    if (!isReachAnswer(answer)) {
        return "noAnswer";
    }
    return answer.reaches ? "reached" : "unreached";
}
