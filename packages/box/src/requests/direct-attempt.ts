/**
 * An attempt over a connection of this box: acquires it, sends the request, and passes the outcome to the feedback on
 * servers.
 *
 * Owns the connection while the request is in progress.
 */

import {
    type BackendServer,
    connectTimeoutOfRequest,
    type IdleTimeoutEstimate,
    maxIdleTimeBefore,
    overdueThreshold,
} from "@chalkdale/decisions";
import {
    type AvailabilityZoneId,
    type Clock,
    type Milliseconds,
    milliseconds,
    type ServiceId,
} from "@chalkdale/kernel";
import type { Socket } from "node:net";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { LoopShare } from "../loop-share.js";
import type { DirectAttempts } from "../paths/direct-attempts.js";
import type { PathMonitor } from "../paths/path-monitor.js";
import { exchange, type ExchangeOutcome } from "../servers/exchange.js";
import type { ServerConnection } from "../servers/idle-connections.js";
import type { ConnectFailure, ServerConnections } from "../servers/server-connections.js";
import { type AttemptOutcome, type AttemptRequest, sendResultOf } from "./attempt-request.js";
import { startOverdueCheck } from "./overdue-check.js";
import type { ServerFeedback } from "./server-feedback.js";
import type { FindTermination } from "./server-termination.js";

/** What a direct attempt asks of the path monitor, and reports to it. */
export type DirectPaths = Pick<PathMonitor, "pathTo" | "onConnecting" | "onConnected" | "onAnswered" | "check">;

export interface DirectAttemptOptions {
    readonly clock: Clock;
    readonly protocol: Pick<CallerProtocol, "headers">;
    readonly connections: ServerConnections;
    readonly loopShare: Pick<LoopShare, "run">;
    readonly feedback: ServerFeedback;
    /** Maximum number of connections that this box may hold to one server of the service. */
    readonly maxConnectionsPerServer: (service: ServiceId) => number;
    readonly paths: DirectPaths;
    readonly pending: Pick<DirectAttempts, "begin">;
    /** True once another incarnation of the server is listed. */
    readonly hasNewIncarnation: (server: BackendServer) => boolean;
    /** True once another incarnation, or a later server at the same address, is listed. */
    readonly hasSuccessor: (server: BackendServer) => boolean;
    /** False for an availability zone that is closed to requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
    readonly findTermination: FindTermination;
    readonly idleTimeoutEstimate: IdleTimeoutEstimate;
    /** Counts the bytes of the bodies of a request and its answer. */
    readonly countBytes: (server: BackendServer, bytes: number) => void;
}

/** How a direct attempt ended. */
export type DirectEnd =
    /** Nothing was sent: there is no connection. */
    | { readonly kind: "notConnected"; readonly failure: ConnectFailure; }
    /** Nothing was sent: the server must not get the request any more. */
    | { readonly kind: "withheld"; readonly reason: string; }
    /** The request was sent; `outcome` is the outcome after the feedback on the server. */
    | { readonly kind: "ended"; readonly exchanged: ExchangeOutcome; readonly outcome: AttemptOutcome; };

/** Makes a direct attempt. Never rejects. */
export type DirectAttempt = (request: AttemptRequest) => Promise<DirectEnd>;

/** Returns the function that makes direct attempts. */
export function createDirectAttempt(options: DirectAttemptOptions): DirectAttempt {
    const { clock, connections, feedback, paths, protocol } = options;

    return async function attemptDirectly(request) {
        const stopAsking = paths.onConnecting(request.server);
        const connected = await connections.acquire({
            server: request.server.id,
            address: request.server.state.record().address,
            maxIdleTime: options.idleTimeoutEstimate.maxIdleTime(
                request.service,
                maxIdleTimeBefore(request.isIdempotent),
                clock(),
            ),
            connectTimeout: connectTimeoutOfRequest(request.roundTrip, request.timeLeft()),
            maxConnections: options.maxConnectionsPerServer(request.service),
            requestId: request.requestId,
            signal: request.signal,
        });
        stopAsking();
        if (connected.err) {
            return { kind: "notConnected", failure: connected.val };
        }
        const { idleTime, socket } = connected.val;
        if (idleTime === 0) {
            paths.onConnected(request.server);
            const isOpen = await staysOpen(socket, request);
            if (!isOpen && !request.signal.aborted) {
                return { kind: "notConnected", failure: "ended" };
            }
        }
        if (request.signal.aborted) {
            socket.destroy();
            return { kind: "notConnected", failure: "cancelled" };
        }
        const reason = reasonNotToSend(request.server);
        if (reason !== undefined) {
            socket.destroy();
            return { kind: "withheld", reason };
        }
        return send(request, connected.val);
    };

    /** Resolves with false if a new connection has ended by the time the caller is confirmed; nothing was sent then. */
    async function staysOpen(socket: Socket, request: AttemptRequest): Promise<boolean> {
        let isOpen = true;
        const onEnd = () => {
            isOpen = false;
            socket.destroy();
        };
        endEvents.forEach(event => socket.on(event, onEnd));
        await request.caller.confirm();
        if (isOpen) {
            endEvents.forEach(event => socket.removeListener(event, onEnd));
        }
        return isOpen;
    }

    /**
     * Returns why the server must not get the request after all. Its state may have changed since it was chosen,
     * because a connection takes seconds to open if packets are lost.
     */
    function reasonNotToSend(server: BackendServer): string | undefined {
        const { state } = server;
        if (state.isOutOfService() || options.hasNewIncarnation(server) || !options.admitsZone(state.record().zone)) {
            return "server went out of service while its connection was being opened";
        }
        return clock() < state.backoffUntil()
            ? "server asked for back-off while its connection was being opened"
            : undefined;
    }

    async function send(request: AttemptRequest, connection: ServerConnection): Promise<DirectEnd> {
        const { server } = request;
        const { localPort } = connection.socket;
        const recorded = request.sends.begin(server.id, { kind: "connection", localPort });
        if (recorded === undefined) {
            connection.socket.destroy();
            return { kind: "withheld", reason: "request was refused as not run" };
        }
        const sentAt = clock();
        request.onSend();
        server.state.onSent();
        const overdueCheck = startOverdueCheck(overdueThreshold(request.expected), () => hasEnded(request));
        const endPending = options.pending.begin({
            server,
            sentAt,
            abort: request.isIdempotent ? overdueCheck.abort : undefined,
        });
        const exchanged = await exchange({
            socket: connection.socket,
            method: request.method,
            path: request.path,
            rawHeaders: headersFor(request),
            body: request.body,
            requestId: request.requestId,
            headers: protocol.headers,
            caller: request.caller,
            loopShare: options.loopShare,
            memory: request.answerMemory,
            signal: AbortSignal.any([request.signal, overdueCheck.signal]),
            onHead() {
                overdueCheck.end();
                paths.onAnswered(server);
            },
        });
        endPending();
        overdueCheck.end();
        const answerBytes = exchanged.kind === "answer" ? exchanged.answer.body.length : 0;
        options.countBytes(server, request.body.length + answerBytes);
        const outcome = applyOutcome(request, connection, exchanged, sentAt);
        recorded.end(sendResultOf(outcome));
        return { kind: "ended", exchanged, outcome };
    }

    function applyOutcome(
        request: AttemptRequest,
        { idleTime, socket }: ServerConnection,
        exchanged: ExchangeOutcome,
        sentAt: Milliseconds,
    ): AttemptOutcome {
        const isPathCut = paths.pathTo(request.server) !== "direct";
        switch (exchanged.kind) {
            case "answer":
                if (isPathCut) {
                    // Kept while idle, it could go silent unnoticed.
                    socket.destroy();
                }
                return feedback.onAnswer(request, isPathCut ? undefined : socket, exchanged.answer, sentAt);
            case "broken": {
                const broken = feedback.onBroken(
                    request,
                    exchanged.reason,
                    isPathCut || isStaleConnection(request, idleTime, sentAt),
                );
                // A server that crashes at once under the request ends a rested connection as one that drops it does,
                // but it accepts no connection afterwards.
                return isPathCut || exchanged.closedByServer !== true
                    ? broken
                    : { ...broken, serverTerminatedAt: options.findTermination(request.server) };
            }
            case "cancelled":
                return isPathCut
                    ? feedback.onPathCut(request)
                    : feedback.onCancelled(request, sentAt, idleTime);
        }
    }

    /** True if the server had most likely dropped the connection because it was idle. */
    function isStaleConnection(request: AttemptRequest, idleTime: Milliseconds, sentAt: Milliseconds): boolean {
        const resetAfter = milliseconds(clock() - sentAt - request.roundTrip);
        return options.idleTimeoutEstimate.onReset(request.service, idleTime, resetAfter, clock());
    }

    /**
     * True if no answer will come: a new incarnation of the server is listed, or a later server has its address. The
     * check whether the server accepts a connection is not enough, because whichever server has the address now accepts
     * it: a request would then wait until its caller's deadline. For an idempotent request, which
     * another server may run as well, also true if this box no longer reaches the server. Never rejects.
     */
    async function hasEnded({ isIdempotent, server }: AttemptRequest): Promise<boolean> {
        if (options.hasSuccessor(server)) {
            return true;
        }
        return isIdempotent && await paths.check(server) !== "direct";
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
}

/** Events that end a connection. */
const endEvents = ["end", "error", "close"];
const methodsWithoutBody = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);
