/**
 * One attempt: a connection to the chosen server, the request on it, and what
 * the server's state learns from how it ended.
 */

import { type BackendServer, isIdempotent, type Route } from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { Socket } from "node:net";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import { exchange, readKeepAlive, type ServerAnswer } from "../servers/exchange.js";
import type { LivenessCheck } from "../servers/liveness-check.js";
import type { ServerConnections } from "../servers/server-connections.js";

/** How an attempt ended. */
export type AttemptOutcome =
    /** The server's own answer, success or failure. */
    | { readonly kind: "answered"; readonly answer: ServerAnswer; }
    /** Nothing reached the server. */
    | { readonly kind: "notSent"; readonly reason: string; }
    /** The server says that it did not run the request. */
    | { readonly kind: "notRun"; readonly status: number; }
    /** The request may have run; there is no whole answer. */
    | { readonly kind: "broken"; readonly reason: string; }
    | { readonly kind: "cancelled"; };

/** What is sent. */
export interface AttemptRequest {
    readonly route: Route;
    readonly service: ServiceId;
    readonly server: BackendServer;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn, without those that an attempt sets. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly requestId: string | undefined;
    /** Time until the request must be answered. */
    readonly timeLeft: () => Milliseconds;
    readonly roundTrip: Milliseconds;
    /** Expected time until the answer. */
    readonly expected: Milliseconds;
    readonly signal: AbortSignal;
    /** Told once the request is about to be sent. */
    readonly onSend: () => void;
    /** Told how long the server took for a success, without the way there and back. */
    readonly onServed: (duration: Milliseconds) => void;
}

export interface AttemptOptions {
    readonly clock: Clock;
    readonly protocol: CallerProtocol;
    readonly connections: ServerConnections;
    /** Connections to one server that this box may hold. */
    readonly mostConnections: (service: ServiceId) => number;
    readonly livenessCheck: LivenessCheck;
}

const statusMisdirected = 421;
/** A server answers so at the request's deadline, which may be for a full queue. */
const statusDeadline = 504;
const leastFailureStatus = 500;
/** A connection must come up within this and twice the way there and back, and within a part of the time left. */
const connectBase = 250;
const connectPartOfTimeLeft = 0.4;
/** A request counts as stalled after this many times the expected time, and not before the least. */
const stalledAfter = 3;
const leastStall = 400;
/** Kept connections carry requests that may not be repeated only if they rested no longer. */
const longestRestUnsafe = milliseconds(2000);
const longestRest = milliseconds(4000);
/** Part of the time that a server announces for idle connections, which is used. */
const usedPartOfKeepAlive = 0.5;

/** Returns the function that makes attempts. Never rejects. */
export function createAttempt(options: AttemptOptions): (request: AttemptRequest) => Promise<AttemptOutcome> {
    const { clock, protocol, connections } = options;

    return async function attempt(request) {
        const { state } = request.server;
        const connectTimeout = Math.min(
            connectTimeoutFor(request.roundTrip),
            request.timeLeft() * connectPartOfTimeLeft,
        );
        const connected = await connections.acquire({
            server: request.server.id,
            address: state.record().address,
            longestRest: isIdempotent(request.route) ? longestRest : longestRestUnsafe,
            connectTimeout: milliseconds(connectTimeout),
            most: options.mostConnections(request.service),
            signal: request.signal,
        });
        if (connected.err) {
            return onNoConnection(request, connected.val);
        }
        if (request.signal.aborted) {
            connected.val.socket.destroy();
            return { kind: "cancelled" };
        }
        return send(request, connected.val.socket);
    };

    function onNoConnection(request: AttemptRequest, failure: string): AttemptOutcome {
        if (failure === "cancelled") {
            return { kind: "cancelled" };
        }
        if (failure === "unreachable") {
            request.server.state.onFailure(clock(), "unreachable");
            connections.closeIdle(request.server.id);
        }
        return { kind: "notSent", reason: failure };
    }

    async function send(request: AttemptRequest, socket: Socket): Promise<AttemptOutcome> {
        const { state } = request.server;
        const sentAt = clock();
        request.onSend();
        state.onSent(sentAt);
        const stall = watchForStall(request);
        const outcome = await exchange({
            socket,
            method: request.method,
            path: request.path,
            rawHeaders: headersFor(request),
            body: request.body,
            requestId: request.requestId,
            headers: protocol.headers,
            signal: AbortSignal.any([request.signal, stall.signal]),
            onHead: stall.end,
        });
        stall.end();
        if (outcome.kind === "answer") {
            return judgeAnswer(request, socket, outcome.answer, sentAt);
        }
        state.onEnded(clock());
        if (outcome.kind === "broken") {
            state.onFailure(clock(), "brokeOff");
            return outcome;
        }
        if (isStalled(request, sentAt)) {
            state.onResult(clock(), false);
        }
        return request.signal.aborted ? outcome : { kind: "broken", reason: "server silent" };
    }

    /** True if the server has had the request for far longer than expected. */
    function isStalled(request: AttemptRequest, sentAt: Milliseconds): boolean {
        return clock() - sentAt >= stallTime(request);
    }

    /** Aborts a request that may be repeated once its server turns out to be silent. */
    function watchForStall(request: AttemptRequest): { readonly signal: AbortSignal; readonly end: () => void; } {
        const controller = new AbortController();
        if (!isIdempotent(request.route)) {
            return { signal: controller.signal, end: () => undefined };
        }
        let isOver = false;
        const timer = setTimeout(() => {
            void options.livenessCheck(request.server).then(accepts => {
                if (!accepts && !isOver) {
                    controller.abort();
                }
            });
        }, stallTime(request));
        return {
            signal: controller.signal,
            end() {
                isOver = true;
                clearTimeout(timer);
            },
        };
    }

    function headersFor(request: AttemptRequest): string[] {
        const headers = [
            ...request.rawHeaders,
            protocol.headers.deadline,
            String(Math.max(1, Math.floor(request.timeLeft()))),
            protocol.headers.expectedServer,
            request.server.id,
            "Connection",
            "keep-alive",
        ];
        if (request.body.length > 0 || !methodsWithoutBody.has(request.method)) {
            headers.push("Content-Length", String(request.body.length));
        }
        return headers;
    }

    function judgeAnswer(
        request: AttemptRequest,
        socket: Socket,
        answer: ServerAnswer,
        sentAt: Milliseconds,
    ): AttemptOutcome {
        const { id, state } = request.server;
        const now = clock();
        const load = protocol.readLoad(answer.headers);
        state.onEnded(now, load);
        if (answer.reusable) {
            const announced = readKeepAlive(answer.headers);
            const rest = Math.min(longestRest, (announced ?? longestRest) * usedPartOfKeepAlive);
            connections.release(id, socket, milliseconds(rest));
        }
        if (answer.status === statusMisdirected) {
            state.onReplaced();
            connections.closeIdle(id);
            return { kind: "notRun", status: answer.status };
        }
        if (answer.headers[protocol.headers.notRun] !== undefined) {
            state.onFull(now);
            if (load !== undefined && load.waiting === 0 && load.running < load.slots && !state.isCold(now)) {
                state.onResult(now, false);
            }
            return { kind: "notRun", status: answer.status };
        }
        state.onHealthy(now);
        state.onResult(now, !isFailure(answer) || answer.status === statusDeadline && !isStalled(request, sentAt));
        if (answer.status >= 200 && answer.status < 300) {
            request.onServed(milliseconds(Math.max(0, now - sentAt - request.roundTrip)));
        }
        return { kind: "answered", answer };
    }
}

/** Returns the time after which a request without an answer counts as stalled. */
function stallTime(request: AttemptRequest): number {
    return Math.max(leastStall, request.expected * stalledAfter);
}

function isFailure(answer: ServerAnswer): boolean {
    return answer.status >= leastFailureStatus;
}

/** Returns how long a connection may take to come up over a way of this length. */
export function connectTimeoutFor(roundTrip: Milliseconds): Milliseconds {
    return milliseconds(connectBase + 2 * roundTrip);
}

const methodsWithoutBody = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);
