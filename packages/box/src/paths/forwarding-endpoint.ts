/**
 * Forwards attempts for other boxes, and tells them which servers this box reaches. Only boxes may use it, for listed
 * servers, and only over this box's direct paths: an attempt passes through one other box at most.
 *
 * The box that admitted the request decides on its customer, quota, retries and time; this one only refuses to send
 * what must not be sent any more. Owns the attempts in progress for other boxes.
 */

import {
    type BackendServer,
    type BodyMemory,
    createSendRecord,
    type MemberRecord,
    type SendRecord,
    type ServerCatalog,
    type ShutdownPhase,
    timeLeftAtServer,
} from "@chalkdale/decisions";
import { backendServerId, type BoxId, type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type Log, splitAddress } from "@chalkdale/runtime";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { confirmOpen, createConfirmedCaller } from "../callers/connection-check.js";
import { createAnswerMemory } from "../requests/answer-memory.js";
import type { AttemptRequest } from "../requests/attempt-request.js";
import type { DirectAttempt, DirectEnd } from "../requests/direct-attempt.js";
import { readBody } from "../requests/request-body.js";
import type { ServerFeedback } from "../requests/server-feedback.js";
import type { ConfirmedCaller, ExchangeOutcome } from "../servers/exchange.js";
import {
    attemptsPath,
    decodeMessage,
    encodeMessage,
    type ForwardedEndHead,
    type ForwardedRequestHead,
    type ForwardingRefusal,
    isForwardedRequestHead,
    reachPathPrefix,
} from "./forwarding-messages.js";
import type { PathMonitor } from "./path-monitor.js";

export interface ForwardingEndpointOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly phase: () => ShutdownPhase;
    readonly catalog: Pick<ServerCatalog, "get">;
    /** Boxes that were heard from lately. */
    readonly boxes: () => readonly MemberRecord[];
    readonly bodyMemory: BodyMemory;
    /** Upper bound of the time for which bytes that are read now were unread. */
    readonly unreadFor: () => Milliseconds;
    readonly attemptDirectly: DirectAttempt;
    readonly feedback: Pick<ServerFeedback, "onConnectFailure">;
    readonly roundTrip: (server: BackendServer) => Milliseconds;
    readonly paths: Pick<PathMonitor, "pathTo" | "onConnectFailed" | "reachesDirectly">;
    /** Counts the bytes of a forwarded request and its answer. */
    readonly countBytes: (box: MemberRecord, bytes: number) => void;
}

/** The endpoint of one box. */
export interface ForwardingEndpoint {
    /** Handles a request of another box; false if its path is not one of the endpoint's. */
    readonly handle: (request: IncomingMessage, response: ServerResponse) => boolean;
    /** Attempts in progress for other boxes. */
    readonly inProgress: () => number;
}

/** The box that sent an attempt, while it waits for the outcome. */
interface Sender {
    /** Aborted once its connection has ended, which withdraws the attempt. */
    readonly signal: AbortSignal;
    /** Tells whether it has withdrawn the attempt. */
    readonly caller: ConfirmedCaller;
    /** Upper bound of the time for which its message was unread. */
    readonly unreadFor: Milliseconds;
    /** The sends of its attempt from this box. */
    readonly sends: SendRecord;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Attempts that a box has in progress for others. */
const maxInProgress = 512;
/** Largest message in bytes: the largest body of a request and its head. */
const maxMessageBytes = 17 * 1024 * 1024;
/** Milliseconds expected for an attempt of another box, which checks itself whether it is overdue. */
const expectedDuration = milliseconds(1000);

/** Creates the endpoint of a box. */
export function createForwardingEndpoint(options: ForwardingEndpointOptions): ForwardingEndpoint {
    const { catalog, clock, log } = options;
    let inProgress = 0;

    return {
        handle(request, response) {
            const url = request.url ?? "/";
            const handler = handlerOf(request.method, url);
            if (handler === undefined) {
                return false;
            }
            // The other box may leave at any time; writing then must not end this one's process.
            response.on("error", () => undefined);
            handler(request, response).catch((error: unknown) => {
                log.error("forwarding.fault", { url, reason: String(error) });
                response.destroy();
            });
            return true;
        },
        inProgress: () => inProgress,
    };

    function handlerOf(method: string | undefined, url: string): Handler | undefined {
        if (url === attemptsPath && method === "POST") {
            return handleAttempt;
        }
        return url.startsWith(reachPathPrefix) ? handleReach : undefined;
    }

    async function handleReach({ url = "" }: IncomingMessage, response: ServerResponse): Promise<void> {
        const server = decodeURIComponent(url.slice(reachPathPrefix.length));
        const listed = catalog.get(backendServerId(server));
        const reaches = listed !== undefined && await options.paths.reachesDirectly(listed);
        writeJson(response, 200, { reaches });
    }

    async function handleAttempt(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const sends = createSendRecord();
        const from = senderOf(request);
        if (from === undefined) {
            refuse(request, response, "invalid", sends);
            return;
        }
        if (options.phase() !== "running" || inProgress >= maxInProgress) {
            refuse(request, response, "busy", sends);
            return;
        }
        inProgress += 1;
        const unreadFor = options.unreadFor();
        const controller = new AbortController();
        const { signal } = controller;
        const abort = () => controller.abort();
        response.on("close", abort);
        // These come before the "close" event, which waits until this side has ended too.
        request.socket.once("end", abort);
        request.socket.once("error", abort);
        const caller = createConfirmedCaller(clock, () => confirmOpen(request.socket, { clock, signal }));
        const body = await readBody({ request, sendContinue: () => response.writeContinue() }, {
            clock,
            maxBytes: maxMessageBytes,
            memory: options.bodyMemory,
            signal,
        });
        try {
            if (body.kind === "whole" && !await caller.confirm()) {
                log.info("attempt.withdrawn", { from: from.box });
                response.destroy();
            }
            else if (body.kind === "whole") {
                await forwardMessage(from, body.body, response, { signal, caller, unreadFor, sends });
            }
            else {
                refuse(request, response, "busy", sends);
            }
        }
        finally {
            inProgress -= 1;
            request.socket.removeListener("end", abort);
            request.socket.removeListener("error", abort);
            if (body.kind === "whole") {
                body.release();
            }
        }
    }

    async function forwardMessage(
        from: MemberRecord,
        message: Buffer,
        response: ServerResponse,
        sender: Sender,
    ): Promise<void> {
        const decoded = decodeMessage(message);
        if (decoded === undefined || !isForwardedRequestHead(decoded.head)) {
            writeRefusal(response, "invalid", sender.sends);
            return;
        }
        const { body, head } = decoded;
        // The box may have begun to stop while the message arrived.
        if (options.phase() !== "running") {
            writeRefusal(response, "busy", sender.sends);
            return;
        }
        // The sender may be held up as well, and unable to withdraw the attempt.
        if (head.knowsHeldUp === true && sender.unreadFor > 0) {
            writeRefusal(response, "heldUp", sender.sends);
            return;
        }
        const server = catalog.get(backendServerId(head.server));
        if (server === undefined) {
            writeRefusal(response, "outOfService", sender.sends);
            return;
        }
        const startedAt = clock();
        if (options.paths.pathTo(server) !== "direct") {
            logEnd(from.box, head, "unreachable", startedAt);
            writeRefusal(response, "unreachable", sender.sends);
            return;
        }
        const answerMemory = createAnswerMemory(clock, options.bodyMemory);
        response.once("close", answerMemory.close);
        const request = attemptRequestOf(head, body, {
            server,
            sender,
            answerMemory,
            onSend: () => response.writeHead(200).flushHeaders(),
        });
        const ended = await options.attemptDirectly(request);
        if (ended.kind === "ended") {
            logEnd(from.box, head, ended.exchanged.kind, startedAt);
            const answerBytes = writeEnd(response, ended.exchanged);
            options.countBytes(from, message.length + answerBytes);
            return;
        }
        const refusal = refusalOf(ended);
        logEnd(from.box, head, refusal, startedAt);
        writeRefusal(response, refusal, sender.sends);
        if (refusal === "unreachable" && !await options.paths.onConnectFailed(server)) {
            options.feedback.onConnectFailure(request, "unreachable");
        }
    }

    function attemptRequestOf(
        head: ForwardedRequestHead,
        body: Buffer,
        { answerMemory, onSend, sender, server }: Pick<AttemptRequest, "answerMemory" | "onSend" | "server"> & {
            readonly sender: Sender;
        },
    ): AttemptRequest {
        const { caller, sends, signal, unreadFor } = sender;
        const deadlineAt = clock() + timeLeftAtServer(milliseconds(head.timeLeft), unreadFor);
        return {
            isIdempotent: head.isIdempotent,
            allowedRegions: undefined,
            service: server.state.record().service,
            server,
            method: head.method,
            path: head.path,
            rawHeaders: head.rawHeaders,
            body,
            requestId: head.requestId,
            timeLeft: () => milliseconds(deadlineAt - clock()),
            roundTrip: options.roundTrip(server),
            expected: expectedDuration,
            signal,
            answerMemory,
            caller,
            sends,
            onSend,
            onServed: () => undefined,
        };
    }

    /** Returns the box that sent the request, by its address; undefined if it is none. */
    function senderOf({ socket }: IncomingMessage): MemberRecord | undefined {
        return options.boxes().find(({ peerAddress }) => splitAddress(peerAddress).host === socket.remoteAddress);
    }

    function logEnd(from: BoxId, head: ForwardedRequestHead, outcome: string, startedAt: Milliseconds): void {
        log.info("attempt.forwarded", {
            request: head.requestId,
            from,
            server: head.server,
            outcome,
            after: Math.round(clock() - startedAt),
        });
    }
}

/** Wraps a listener: requests that are not the endpoint's go on to it. */
export function withForwarding(endpoint: Pick<ForwardingEndpoint, "handle">, next: RequestListener): RequestListener {
    return (request, response) => {
        if (!endpoint.handle(request, response)) {
            next(request, response);
        }
    };
}

/** Returns the refusal for an attempt of which nothing was sent. */
function refusalOf(end: Exclude<DirectEnd, { readonly kind: "ended"; }>): ForwardingRefusal {
    switch (end.kind) {
        case "withheld":
            return "outOfService";
        case "notConnected":
            return end.failure === "unreachable" ? "unreachable" : "busy";
    }
}

/** Writes how the attempt ended; returns the bytes of the answer's body. */
function writeEnd(response: ServerResponse, outcome: ExchangeOutcome): number {
    switch (outcome.kind) {
        case "answer": {
            const { body, framed, rawHeaders, status } = outcome.answer;
            write(response, { kind: "answer", status, rawHeaders, framed }, body.parts);
            return body.length;
        }
        case "broken":
            write(
                response,
                { kind: "broken", reason: outcome.reason, closedByServer: outcome.closedByServer === true },
                [],
            );
            return 0;
        case "cancelled":
            response.destroy();
            return 0;
    }
}

function write(response: ServerResponse, head: ForwardedEndHead, body: readonly Buffer[]): void {
    encodeMessage(head, body).forEach(part => response.write(part));
    response.end();
}

/** Refuses a request whose body was not read. */
function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: ForwardingRefusal,
    sends: SendRecord,
): void {
    request.resume();
    writeRefusal(response, refusal, sends);
}

/** The other box takes a refusal for proof that nothing was sent, and a connection that ends for a possible run. */
function writeRefusal(response: ServerResponse, refusal: ForwardingRefusal, sends: SendRecord): void {
    if (sends.proveNotRun() === undefined) {
        response.destroy();
        return;
    }
    writeJson(response, 503, { refusal });
}

function writeJson(response: ServerResponse, status: number, value: unknown): void {
    const text = JSON.stringify(value);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
