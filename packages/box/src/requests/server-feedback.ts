/**
 * Applies the outcome of an attempt to the state of its server, and decides whether
 * the connection is kept.
 *
 * Relies on the classification of answers; owns no state.
 */

import {
    type AnswerClass,
    type BackendServer,
    classifyAnswer,
    idleTimeoutAfterAnswer,
    overdueThreshold,
    type ServiceLoad,
} from "@chalkdale/decisions";
import { type BackendServerId, type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { Socket } from "node:net";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import { readKeepAlive, type ServerAnswer } from "../servers/exchange.js";
import type { LimitedServers } from "../servers/limited-servers.js";
import type { ConnectFailure, ServerConnections } from "../servers/server-connections.js";
import type { ServerNotices } from "../servers/server-notices.js";
import type { AttemptOutcome, AttemptRequest } from "./attempt-request.js";

export interface ServerFeedbackOptions {
    readonly clock: Clock;
    readonly protocol: CallerProtocol;
    readonly connections: ServerConnections;
    readonly serviceLoad: ServiceLoad;
    readonly limitedServers: Pick<LimitedServers, "onAnswer">;
    readonly serverNotices: Pick<ServerNotices, "onAnswer">;
    /** True once another incarnation of the server is listed. */
    readonly hasNewIncarnation: (server: BackendServer) => boolean;
}

/** Handles each way in which an attempt can end, and returns its outcome. */
export interface ServerFeedback {
    readonly onConnectFailure: (request: AttemptRequest, failure: ConnectFailure) => AttemptOutcome;
    readonly onAnswer: (
        request: AttemptRequest,
        /** Connection to keep if the answer allows it; undefined if there is none to keep. */
        socket: Socket | undefined,
        answer: ServerAnswer,
        sentAt: Milliseconds,
    ) => AttemptOutcome;
    /**
     * `wasStaleConnection`: the server had dropped the idle connection, which says nothing about its health. If the
     * server is down nevertheless, it will refuse the next connection.
     */
    readonly onBroken: (
        request: AttemptRequest,
        reason: string,
        wasStaleConnection: boolean,
    ) => Extract<AttemptOutcome, { readonly kind: "broken"; }>;
    /**
     * The caller left, the request's time ran out, another attempt answered, or the server of an overdue request has
     * ended. `idleTime`: how long the connection had been idle before; 0 for a new one.
     */
    readonly onCancelled: (request: AttemptRequest, sentAt: Milliseconds, idleTime: Milliseconds) => AttemptOutcome;
    /** The attempt was aborted while the path to the server is cut, which says nothing about the server. */
    readonly onPathCut: (request: AttemptRequest) => AttemptOutcome;
    /** The box that forwarded the request was lost, which says nothing about the server. */
    readonly onForwardingLost: (request: AttemptRequest, reason: string) => AttemptOutcome;
}

/** Creates the feedback on the servers of one box. */
export function createServerFeedback(options: ServerFeedbackOptions): ServerFeedback {
    const { clock, connections, protocol } = options;

    return {
        onConnectFailure(request, failure) {
            switch (failure) {
                case "cancelled":
                    return { kind: "cancelled" };
                case "tooMany":
                    return { kind: "notSent", reason: failure };
                case "ended":
                    request.server.state.onFailure(clock(), "brokeOff");
                    return { kind: "notSent", reason: "connection ended before anything was sent" };
                case "unreachable":
                    request.server.state.onFailure(clock(), "unreachable");
                    connections.closeIdle(request.server.id);
                    return { kind: "notSent", reason: failure };
            }
        },
        onAnswer(request, socket, answer, sentAt) {
            const { id, state } = request.server;
            const load = protocol.readLoad(answer.headers);
            state.onEnded(clock(), load);
            if (load !== undefined) {
                options.serviceLoad.onReport(request.service, load);
            }
            // A connection to an earlier incarnation ended with it, and a request sent on it would be lost.
            if (answer.reusable && options.hasNewIncarnation(request.server)) {
                socket?.destroy();
            }
            else if (answer.reusable && socket !== undefined) {
                connections.release({
                    server: id,
                    socket,
                    idleTimeout: idleTimeoutAfterAnswer(readKeepAlive(answer.headers)),
                });
            }
            const answerClass = classifyAnswer({
                status: answer.status,
                reportsNotRun: answer.headers[protocol.headers.notRun] !== undefined,
                requestsBackoff: requestsBackoff(answer),
                load,
                isCold: state.isCold(clock()),
                isOverdue: isOverdue(request, sentAt),
            });
            // Notices and limits in an answer of another server don't concern this one.
            if (answerClass.kind !== "otherServer") {
                options.serverNotices.onAnswer(request.server, answer);
                options.limitedServers.onAnswer(request.server, answer, sentAt);
            }
            return applyAnswerClass(request, answer, answerClass, sentAt);
        },
        onBroken(request, reason, wasStaleConnection) {
            request.server.state.onEnded(clock());
            if (wasStaleConnection) {
                connections.closeIdle(request.server.id);
            }
            else {
                request.server.state.onFailure(clock(), "brokeOff");
            }
            return { kind: "broken", reason, wasStaleConnection };
        },
        onCancelled(request, sentAt, idleTime) {
            const { id, state } = request.server;
            state.onEnded(clock());
            if (isOverdue(request, sentAt)) {
                state.onResult(clock(), false);
                state.onAnswerTime(clock(), (clock() - sentAt) / Math.max(1, request.expected));
                closeOtherIdleConnections(id, idleTime);
            }
            return request.signal.aborted
                ? { kind: "cancelled" }
                : { kind: "broken", reason: "answer overdue and server ended", wasStaleConnection: false };
        },
        onPathCut(request) {
            request.server.state.onEnded(clock());
            return request.signal.aborted ? { kind: "cancelled" } : brokenWithoutFault("path to the server was cut");
        },
        onForwardingLost(request, reason) {
            request.server.state.onEnded(clock());
            return brokenWithoutFault(reason);
        },
    };

    /** Counts neither against the server nor as evidence about its version. */
    function brokenWithoutFault(reason: string): AttemptOutcome {
        return { kind: "broken", reason, wasStaleConnection: true };
    }

    /**
     * Closes the server's other idle connections. Idle connections tend to stop working together, and each one left
     * open would cost a request its whole time: with four such connections, three of four consecutive reads got 504.
     */
    function closeOtherIdleConnections(server: BackendServerId, idleTime: Milliseconds): void {
        if (idleTime > 0) {
            connections.closeIdle(server);
        }
    }

    /** True for an answer that asks this box to back off. */
    function requestsBackoff(answer: ServerAnswer): boolean {
        const backoff = protocol.readBackoff(answer);
        return backoff.kind === "asked" && backoff.duration > 0;
    }

    /** True if the request has been at the server for far longer than expected. */
    function isOverdue(request: AttemptRequest, sentAt: Milliseconds): boolean {
        return clock() - sentAt >= overdueThreshold(request.expected);
    }

    function applyAnswerClass(
        request: AttemptRequest,
        answer: ServerAnswer,
        answerClass: AnswerClass,
        sentAt: Milliseconds,
    ): AttemptOutcome {
        const { id, state } = request.server;
        const now = clock();
        switch (answerClass.kind) {
            case "otherServer":
                state.onReplaced();
                connections.closeIdle(id);
                return answerClass.mayHaveRun
                    ? { kind: "answered", answer }
                    : { kind: "notRun", status: answer.status, hasFreeSlots: false };
            case "full":
                if (answerClass.isFailure) {
                    state.onResult(now, false);
                }
                else {
                    state.onFull(now);
                }
                return { kind: "notRun", status: answer.status, hasFreeSlots: answerClass.isFailure };
            case "backedOff":
                return answerClass.mayHaveRun
                    ? { kind: "answered", answer, requestsBackoff: true }
                    : { kind: "notRun", status: answer.status, hasFreeSlots: false };
            case "ran":
                state.onHealthy();
                state.onResult(now, !answerClass.isFailure);
                if (answerClass.isSuccess) {
                    request.onServed(milliseconds(Math.max(0, now - sentAt - request.roundTrip)));
                }
                return { kind: "answered", answer };
        }
    }
}
