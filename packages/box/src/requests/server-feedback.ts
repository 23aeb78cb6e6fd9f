/**
 * What a box learns of a server from how an attempt ended, and what becomes of
 * the connection.
 *
 * Carries out the verdict on an answer; owns no state.
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
    /** True once another life of the server is listed. */
    readonly hasNewIncarnation: (server: BackendServer) => boolean;
}

/** Takes each way in which an attempt can end, and returns its outcome. */
export interface ServerFeedback {
    readonly onConnectFailure: (request: AttemptRequest, failure: ConnectFailure) => AttemptOutcome;
    readonly onAnswer: (
        request: AttemptRequest,
        socket: Socket,
        answer: ServerAnswer,
        sentAt: Milliseconds,
    ) => AttemptOutcome;
    /** `wasStaleConnection`: the server forgot a connection that rested, which says nothing of its health; a lost one refuses the next. */
    readonly onBroken: (
        request: AttemptRequest,
        reason: string,
        wasForgotten: boolean,
    ) => Extract<AttemptOutcome, { readonly kind: "broken"; }>;
    /** The caller left, the request's time is over, or its server is silent. `rested`: its connection's rest before; 0 for a new one. */
    readonly onCancelled: (request: AttemptRequest, sentAt: Milliseconds, rested: Milliseconds) => AttemptOutcome;
}

/** Creates the feedback of one box. */
export function createServerFeedback(options: ServerFeedbackOptions): ServerFeedback {
    const { clock, connections, protocol } = options;

    return {
        onConnectFailure(request, failure) {
            switch (failure) {
                case "cancelled":
                    return { kind: "cancelled" };
                case "tooMany":
                    return { kind: "notSent", reason: failure };
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
            // A connection of an earlier life is gone with it, and a request on it would be lost.
            if (answer.reusable && options.hasNewIncarnation(request.server)) {
                socket.destroy();
            }
            else if (answer.reusable) {
                connections.release(id, socket, idleTimeoutAfterAnswer(readKeepAlive(answer.headers)));
            }
            const verdict = classifyAnswer({
                status: answer.status,
                saysNotRun: answer.headers[protocol.headers.notRun] !== undefined,
                requestsBackoff: asksBackoff(answer),
                load,
                isCold: state.isCold(clock()),
                isOverdue: isOverdue(request, sentAt),
            });
            // What another server says of itself is not this one's.
            if (verdict.kind !== "otherServer") {
                options.serverNotices.onAnswer(request.server, answer);
                options.limitedServers.onAnswer(request.server, answer, sentAt);
            }
            return applyVerdict(request, answer, verdict, sentAt);
        },
        onBroken(request, reason, wasForgotten) {
            request.server.state.onEnded(clock());
            if (wasForgotten) {
                connections.closeIdle(request.server.id);
            }
            else {
                request.server.state.onFailure(clock(), "brokeOff");
            }
            return { kind: "broken", reason, wasStaleConnection: wasForgotten };
        },
        onCancelled(request, sentAt, rested) {
            const { id, state } = request.server;
            state.onEnded(clock());
            if (isOverdue(request, sentAt)) {
                state.onResult(clock(), false);
                state.onAnswerTime(clock(), (clock() - sentAt) / Math.max(1, request.expected));
                closeOthersAtRest(id, rested);
            }
            return request.signal.aborted
                ? { kind: "cancelled" }
                : { kind: "broken", reason: "server silent", wasStaleConnection: false };
        },
    };

    /**
     * Connections that rested fall silent together. Left open, each would cost a request its whole limit: three of four reads in
     * a row got 504 over four that had rested, one of them so.
     */
    function closeOthersAtRest(server: BackendServerId, rested: Milliseconds): void {
        if (rested > 0) {
            connections.closeIdle(server);
        }
    }

    /** True for an answer by which a server wants nothing for some time. */
    function asksBackoff(answer: ServerAnswer): boolean {
        const asked = protocol.readBackoff(answer);
        return asked.kind === "asked" && asked.duration > 0;
    }

    /** True if the server has had the request for far longer than expected. */
    function isOverdue(request: AttemptRequest, sentAt: Milliseconds): boolean {
        return clock() - sentAt >= overdueThreshold(request.expected);
    }

    function applyVerdict(
        request: AttemptRequest,
        answer: ServerAnswer,
        verdict: AnswerClass,
        sentAt: Milliseconds,
    ): AttemptOutcome {
        const { id, state } = request.server;
        const now = clock();
        switch (verdict.kind) {
            case "otherServer":
                state.onReplaced();
                connections.closeIdle(id);
                return { kind: "notRun", status: answer.status, hasFreeSlots: false };
            case "full":
                if (verdict.isFailure) {
                    state.onResult(now, false);
                }
                else {
                    state.onFull(now);
                }
                return { kind: "notRun", status: answer.status, hasFreeSlots: verdict.isFailure };
            case "backedOff":
                return verdict.mayHaveRun
                    ? { kind: "answered", answer, requestsBackoff: true }
                    : { kind: "notRun", status: answer.status, hasFreeSlots: false };
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
