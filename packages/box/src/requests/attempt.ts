/**
 * One attempt: acquires a connection to the chosen server and sends the request on
 * it.
 *
 * Owns the connection while the request is in progress; passes the outcome to the
 * feedback on servers.
 */

import {
    type BackendServer,
    connectTimeoutOfRequest,
    type IdleTimeoutEstimate,
    isIdempotent,
    maxIdleTimeBefore,
    overdueThreshold,
    type ServiceLoad,
} from "@chalkdale/decisions";
import {
    type AvailabilityZoneId,
    type Clock,
    type Milliseconds,
    milliseconds,
    type ServiceId,
} from "@chalkdale/kernel";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import { exchange } from "../servers/exchange.js";
import type { ServerConnection } from "../servers/idle-connections.js";
import type { LimitedServers } from "../servers/limited-servers.js";
import type { LivenessCheck } from "../servers/liveness-check.js";
import type { ServerConnections } from "../servers/server-connections.js";
import type { ServerNotices } from "../servers/server-notices.js";
import type { AttemptOutcome, AttemptRequest } from "./attempt-request.js";
import { createServerFeedback } from "./server-feedback.js";

export interface AttemptOptions {
    readonly clock: Clock;
    readonly protocol: CallerProtocol;
    readonly connections: ServerConnections;
    /** Maximum number of connections that this box may hold to one server of the service. */
    readonly maxConnectionsPerServer: (service: ServiceId) => number;
    readonly livenessCheck: LivenessCheck;
    /** True once another incarnation of the server is listed. */
    readonly hasNewIncarnation: (server: BackendServer) => boolean;
    /** True once another incarnation, or a later server at the same address, is listed. */
    readonly hasSuccessor: (server: BackendServer) => boolean;
    /** False for an availability zone that is closed to requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
    readonly serviceLoad: ServiceLoad;
    readonly limitedServers: Pick<LimitedServers, "onAnswer">;
    readonly serverNotices: Pick<ServerNotices, "onAnswer">;
    readonly idleTimeoutEstimate: IdleTimeoutEstimate;
    /** Counts the bytes of the bodies of a request and its answer. */
    readonly countBytes: (server: BackendServer, bytes: number) => void;
}

/** Returns the function that makes attempts; its promise never rejects. */
export function createAttempt(options: AttemptOptions): (request: AttemptRequest) => Promise<AttemptOutcome> {
    const { clock, connections, protocol } = options;
    const feedback = createServerFeedback(options);

    return async function attempt(request) {
        const { state } = request.server;
        let isSent = false;
        const onNotSent = state.onChosen(clock());
        const outcome = await connectAndSend({
            ...request,
            onSend() {
                isSent = true;
                request.onSend();
            },
        });
        if (!isSent) {
            onNotSent();
        }
        return outcome;
    };

    async function connectAndSend(request: AttemptRequest): Promise<AttemptOutcome> {
        const connected = await connections.acquire({
            server: request.server.id,
            address: request.server.state.record().address,
            maxIdleTime: options.idleTimeoutEstimate.maxIdleTime(
                request.service,
                maxIdleTimeBefore(isIdempotent(request.route)),
                clock(),
            ),
            connectTimeout: connectTimeoutOfRequest(request.roundTrip, request.timeLeft()),
            maxConnections: options.maxConnectionsPerServer(request.service),
            signal: request.signal,
        });
        if (connected.err) {
            return feedback.onConnectFailure(request, connected.val);
        }
        if (request.signal.aborted) {
            connected.val.socket.destroy();
            return { kind: "cancelled" };
        }
        const reason = reasonNotToSend(request.server);
        if (reason !== undefined) {
            connected.val.socket.destroy();
            return { kind: "notSent", reason };
        }
        return send(request, connected.val);
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

    async function send(
        request: AttemptRequest,
        { idleTime, socket }: ServerConnection,
    ): Promise<AttemptOutcome> {
        const sentAt = clock();
        request.onSend();
        request.server.state.onSent();
        const overdueCheck = startOverdueCheck(request);
        const outcome = await exchange({
            socket,
            method: request.method,
            path: request.path,
            rawHeaders: headersFor(request),
            body: request.body,
            requestId: request.requestId,
            headers: protocol.headers,
            signal: AbortSignal.any([request.signal, overdueCheck.signal]),
            onHead: overdueCheck.end,
        });
        overdueCheck.end();
        const answerBytes = outcome.kind === "answer" ? outcome.answer.body.length : 0;
        options.countBytes(request.server, request.body.length + answerBytes);
        switch (outcome.kind) {
            case "answer":
                return feedback.onAnswer(request, socket, outcome.answer, sentAt);
            case "broken": {
                const broken = feedback.onBroken(
                    request,
                    outcome.reason,
                    isStaleConnection(request, idleTime, sentAt),
                );
                return broken.wasStaleConnection || outcome.closedByServer !== true
                    ? broken
                    : { ...broken, serverTerminatedAt: findTermination(request.server) };
            }
            case "cancelled":
                return feedback.onCancelled(request, sentAt, idleTime);
        }
    }

    /**
     * Resolves with the time at which the server ended; undefined if it still runs. A server that closed the connection
     * and accepts none now has ended, unless it was leaving service as planned. Never rejects.
     */
    async function findTermination(server: BackendServer): Promise<Milliseconds | undefined> {
        const brokenAt = clock();
        if (server.state.isOutOfService()) {
            return undefined;
        }
        const isAlive = await options.livenessCheck(server, milliseconds(brokenAt - sharedCheckWindow));
        return isAlive ? undefined : brokenAt;
    }

    /** True if the server had most likely dropped the connection because it was idle. */
    function isStaleConnection(request: AttemptRequest, idleTime: Milliseconds, sentAt: Milliseconds): boolean {
        const resetAfter = milliseconds(clock() - sentAt - request.roundTrip);
        return options.idleTimeoutEstimate.onReset(request.service, idleTime, resetAfter, clock());
    }

    /**
     * Aborts an overdue request once its server turns out to have ended: a new incarnation is listed, or a later server
     * has its address. An idempotent request, which another server may run as well, is also aborted if the server
     * accepts no connection. This check alone is not enough, because whichever server has the address now accepts the
     * connection: a request then waits until its caller's deadline, 12.5 s in one case.
     */
    function startOverdueCheck(request: AttemptRequest): { readonly signal: AbortSignal; readonly end: () => void; } {
        const controller = new AbortController();
        let timer = setTimeout(() => void check(), overdueThreshold(request.expected));
        let isStopped = false;
        return {
            signal: controller.signal,
            end() {
                isStopped = true;
                clearTimeout(timer);
            },
        };

        async function check(): Promise<void> {
            if (await hasEnded(request) && !isStopped) {
                controller.abort();
            }
            else if (!isStopped) {
                timer = setTimeout(() => void check(), checkInterval);
            }
        }
    }

    /** True if the server has ended, by a liveness check only if the request is idempotent. Never rejects. */
    async function hasEnded({ route, server }: AttemptRequest): Promise<boolean> {
        if (options.hasSuccessor(server)) {
            return true;
        }
        return isIdempotent(route) && !await options.livenessCheck(server);
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

/**
 * Milliseconds between two checks of a server whose answer is overdue; long, because each check opens a new connection.
 */
const checkInterval = 1000;
/**
 * Milliseconds within which all connections to a server that has ended break: a liveness check that began within this
 * time before the break still counts, so that one check serves all of them.
 */
const sharedCheckWindow = 100;
const methodsWithoutBody = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);
