/**
 * One attempt: a connection to the chosen server, the request on it, and what
 * is learned of the server from how it ended.
 *
 * Carries out the decisions on time limits and verdicts; owns no state.
 */

import {
    type AnswerVerdict,
    type BackendServer,
    connectTimeoutOfRequest,
    isIdempotent,
    judgeAnswer,
    type LoadReport,
    longestRestBefore,
    overdueTime,
    restAfterAnswer,
    type Route,
} from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { Socket } from "node:net";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import { exchange, readKeepAlive, type ServerAnswer } from "../servers/exchange.js";
import type { LivenessCheck } from "../servers/liveness-check.js";
import type { ConnectFailure, ServerConnections } from "../servers/server-connections.js";

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

/** Returns the function that makes attempts. Never rejects. */
export function createAttempt(options: AttemptOptions): (request: AttemptRequest) => Promise<AttemptOutcome> {
    const { clock, connections, protocol } = options;

    return async function attempt(request) {
        const connected = await connections.acquire({
            server: request.server.id,
            address: request.server.state.record().address,
            longestRest: longestRestBefore(isIdempotent(request.route)),
            connectTimeout: connectTimeoutOfRequest(request.roundTrip, request.timeLeft()),
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

    function onNoConnection(request: AttemptRequest, failure: ConnectFailure): AttemptOutcome {
        switch (failure) {
            case "cancelled":
                return { kind: "cancelled" };
            case "unreachable":
                request.server.state.onFailure(clock(), "unreachable");
                connections.closeIdle(request.server.id);
                return { kind: "notSent", reason: failure };
            case "tooMany":
                return { kind: "notSent", reason: failure };
        }
    }

    async function send(request: AttemptRequest, socket: Socket): Promise<AttemptOutcome> {
        const sentAt = clock();
        request.onSend();
        request.server.state.onSent(sentAt);
        const silence = watchForSilence(request);
        const outcome = await exchange({
            socket,
            method: request.method,
            path: request.path,
            rawHeaders: headersFor(request),
            body: request.body,
            requestId: request.requestId,
            headers: protocol.headers,
            signal: AbortSignal.any([request.signal, silence.signal]),
            onHead: silence.end,
        });
        silence.end();
        switch (outcome.kind) {
            case "answer":
                return onAnswer(request, socket, outcome.answer, sentAt);
            case "broken":
                request.server.state.onEnded(clock());
                request.server.state.onFailure(clock(), "brokeOff");
                return outcome;
            case "cancelled":
                return onCancelled(request, sentAt);
        }
    }

    /** The caller left, the request's time is over, or its server is silent. */
    function onCancelled(request: AttemptRequest, sentAt: Milliseconds): AttemptOutcome {
        const { state } = request.server;
        state.onEnded(clock());
        if (isOverdue(request, sentAt)) {
            state.onResult(clock(), false);
        }
        return request.signal.aborted ? { kind: "cancelled" } : { kind: "broken", reason: "server silent" };
    }

    /** True if the server has had the request for far longer than expected. */
    function isOverdue(request: AttemptRequest, sentAt: Milliseconds): boolean {
        return clock() - sentAt >= overdueTime(request.expected);
    }

    /** Aborts an idempotent request once it is overdue and its server turns out to take no connection. */
    function watchForSilence(request: AttemptRequest): { readonly signal: AbortSignal; readonly end: () => void; } {
        const controller = new AbortController();
        if (!isIdempotent(request.route)) {
            return { signal: controller.signal, end: () => undefined };
        }
        let isOver = false;
        const timer = setTimeout(() => {
            void options.livenessCheck(request.server).then(isAlive => {
                if (!isAlive && !isOver) {
                    controller.abort();
                }
            });
        }, overdueTime(request.expected));
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

    function onAnswer(
        request: AttemptRequest,
        socket: Socket,
        answer: ServerAnswer,
        sentAt: Milliseconds,
    ): AttemptOutcome {
        const { id, state } = request.server;
        const load = protocol.readLoad(answer.headers);
        state.onEnded(clock(), load);
        if (answer.reusable) {
            connections.release(id, socket, restAfterAnswer(readKeepAlive(answer.headers)));
        }
        return applyVerdict(request, answer, verdictOf(request, answer, load, sentAt), sentAt);
    }

    function verdictOf(
        request: AttemptRequest,
        answer: ServerAnswer,
        load: LoadReport | undefined,
        sentAt: Milliseconds,
    ): AnswerVerdict {
        return judgeAnswer({
            status: answer.status,
            saysNotRun: answer.headers[protocol.headers.notRun] !== undefined,
            load,
            isCold: request.server.state.isCold(clock()),
            isOverdue: isOverdue(request, sentAt),
        });
    }

    function applyVerdict(
        request: AttemptRequest,
        answer: ServerAnswer,
        verdict: AnswerVerdict,
        sentAt: Milliseconds,
    ): AttemptOutcome {
        const { id, state } = request.server;
        const now = clock();
        switch (verdict.kind) {
            case "otherServer":
                state.onReplaced();
                connections.closeIdle(id);
                return { kind: "notRun", status: answer.status };
            case "full":
                state.onFull(now);
                if (verdict.isFailure) {
                    state.onResult(now, false);
                }
                return { kind: "notRun", status: answer.status };
            case "ran":
                state.onHealthy();
                state.onResult(now, !verdict.isFailure);
                if (verdict.isSuccess) {
                    request.onServed(milliseconds(Math.max(0, now - sentAt - request.roundTrip)));
                }
                return { kind: "answered", answer };
        }
    }
}

const methodsWithoutBody = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);
