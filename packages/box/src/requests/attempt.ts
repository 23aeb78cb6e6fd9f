/**
 * One attempt: a connection to the chosen server, and the request on it.
 *
 * Owns the connection while the request is on it; hands how it ended to the
 * feedback on the server.
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
    /** Connections to one server that this box may hold. */
    readonly maxConnectionsPerServer: (service: ServiceId) => number;
    readonly livenessCheck: LivenessCheck;
    /** True once another life of the server is listed. */
    readonly hasNewIncarnation: (server: BackendServer) => boolean;
    /** The same, or once a later server is listed at its address. */
    readonly hasSuccessor: (server: BackendServer) => boolean;
    /** False for an availability zone that is to get no requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
    readonly serviceLoad: ServiceLoad;
    readonly limitedServers: Pick<LimitedServers, "onAnswer">;
    readonly serverNotices: Pick<ServerNotices, "onAnswer">;
    readonly idleTimeoutEstimate: IdleTimeoutEstimate;
    /** Counts the bodies of a request and its answer. */
    readonly countBytes: (server: BackendServer, bytes: number) => void;
}

/** Returns the function that makes attempts. Never rejects. */
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
     * Why a server must get nothing now, whatever it was when it was chosen: a connection takes seconds to come up if packets are lost.
     */
    function reasonNotToSend(server: BackendServer): string | undefined {
        const { state } = server;
        if (state.isOutOfService() || options.hasNewIncarnation(server) || !options.admitsZone(state.record().zone)) {
            return "left while its connection came up";
        }
        return clock() < state.backoffUntil() ? "asked for back-off while its connection came up" : undefined;
    }

    async function send(
        request: AttemptRequest,
        { idleTime: rested, socket }: ServerConnection,
    ): Promise<AttemptOutcome> {
        const sentAt = clock();
        request.onSend();
        request.server.state.onSent();
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
        const answered = outcome.kind === "answer" ? outcome.answer.body.length : 0;
        options.countBytes(request.server, request.body.length + answered);
        switch (outcome.kind) {
            case "answer":
                return feedback.onAnswer(request, socket, outcome.answer, sentAt);
            case "broken": {
                const broken = feedback.onBroken(request, outcome.reason, wasForgotten(request, rested, sentAt));
                return broken.wasStaleConnection || outcome.closedByServer !== true
                    ? broken
                    : { ...broken, serverTerminatedAt: serverEnded(request.server) };
            }
            case "cancelled":
                return feedback.onCancelled(request, sentAt, rested);
        }
    }

    /** A server that ended the connection and takes none now has ended, unless it was leaving as planned. Never rejects. */
    async function serverEnded(server: BackendServer): Promise<Milliseconds | undefined> {
        const brokenAt = clock();
        if (server.state.isOutOfService()) {
            return undefined;
        }
        const isAlive = await options.livenessCheck(server, milliseconds(brokenAt - sameEndWithin));
        return isAlive ? undefined : brokenAt;
    }

    /** True if the server most likely no longer knew the connection, since it had rested. */
    function wasForgotten(request: AttemptRequest, rested: Milliseconds, sentAt: Milliseconds): boolean {
        const after = milliseconds(clock() - sentAt - request.roundTrip);
        return options.idleTimeoutEstimate.onReset(request.service, rested, after, clock());
    }

    /**
     * Aborts a request once it is overdue and its server turns out to have ended: it has started again, a later one has its address or, for an
     * idempotent request, which another server may run as well, it takes no connection. A test connection alone is answered by
     * whoever has the address; a request waited 12.5 s so, until its caller's deadline.
     */
    function watchForSilence(request: AttemptRequest): { readonly signal: AbortSignal; readonly end: () => void; } {
        const controller = new AbortController();
        let timer = setTimeout(() => void check(), overdueThreshold(request.expected));
        let isOver = false;
        return {
            signal: controller.signal,
            end() {
                isOver = true;
                clearTimeout(timer);
            },
        };

        async function check(): Promise<void> {
            if (await hasEnded(request) && !isOver) {
                controller.abort();
            }
            else if (!isOver) {
                timer = setTimeout(() => void check(), checkInterval);
            }
        }
    }

    /** Never rejects. */
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

/** Milliseconds between two checks of a server whose answer is overdue: few for a request, each a new connection. */
const checkInterval = 1000;
/** Milliseconds within which the connections to a server end that has ended: one check tells for all of them. */
const sameEndWithin = 100;
const methodsWithoutBody = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);
