/**
 * One attempt: a connection to the chosen server, the request on it, and what
 * the server's standing learns from how it ended.
 */

import { type Clock, type Milliseconds, milliseconds, type ServerId, type ServiceId } from "@chalkdale/core";
import { type CatalogServer, isRepeatable, type Route } from "@chalkdale/steering";
import type { Socket } from "node:net";
import type { CallerProtocol } from "./caller-protocol.js";
import { exchange, readKeepAlive, type ServerAnswer } from "./exchange.js";
import type { ServerConnections } from "./server-connections.js";

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
    readonly server: CatalogServer;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn, without those that an attempt sets. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly requestId: string | undefined;
    /** Time until the request must be answered. */
    readonly timeLeft: () => Milliseconds;
    readonly roundTrip: Milliseconds;
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
    readonly onCold: (server: ServerId, duration: Milliseconds) => void;
}

const statusMisdirected = 421;
/** A connection must come up within this, and a part of the time left. */
const longestConnect = 600;
const connectPartOfTimeLeft = 0.4;
/** Kept connections carry requests that may not be repeated only if they rested no longer. */
const longestRestUnsafe = milliseconds(2000);
const longestRest = milliseconds(4000);
/** Part of the time that a server announces for idle connections, which is used. */
const usedPartOfKeepAlive = 0.5;

/** Returns the function that makes attempts. Never rejects. */
export function createAttempt(options: AttemptOptions): (request: AttemptRequest) => Promise<AttemptOutcome> {
    const { clock, protocol, connections } = options;

    return async function attempt(request) {
        const { standing } = request.server;
        const connectTimeout = Math.min(longestConnect, request.timeLeft() * connectPartOfTimeLeft);
        const connected = await connections.acquire({
            server: request.server.id,
            address: standing.record().address,
            longestRest: isRepeatable(request.route) ? longestRest : longestRestUnsafe,
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
            request.server.standing.onFailure(clock(), "unreachable");
            connections.closeIdle(request.server.id);
        }
        return { kind: "notSent", reason: failure };
    }

    async function send(request: AttemptRequest, socket: Socket): Promise<AttemptOutcome> {
        const { standing } = request.server;
        const sentAt = clock();
        request.onSend();
        standing.onSent(sentAt);
        const outcome = await exchange({
            socket,
            method: request.method,
            path: request.path,
            rawHeaders: headersFor(request),
            body: request.body,
            requestId: request.requestId,
            headers: protocol.headers,
            signal: request.signal,
        });
        if (outcome.kind !== "answer") {
            standing.onEnded(clock());
            if (outcome.kind === "broken") {
                standing.onFailure(clock(), "brokeOff");
            }
            return outcome;
        }
        return judgeAnswer(request, socket, outcome.answer, sentAt);
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
        const { id, standing } = request.server;
        const now = clock();
        standing.onEnded(now, protocol.readLoad(answer.headers));
        if (answer.reusable) {
            const announced = readKeepAlive(answer.headers);
            const rest = Math.min(longestRest, (announced ?? longestRest) * usedPartOfKeepAlive);
            connections.release(id, socket, milliseconds(rest));
        }
        if (answer.status === statusMisdirected) {
            standing.onReplaced();
            connections.closeIdle(id);
            return { kind: "notRun", status: answer.status };
        }
        if (answer.headers[protocol.headers.notRun] !== undefined) {
            standing.onFull(now);
            return { kind: "notRun", status: answer.status };
        }
        standing.onHealthy(now);
        if (answer.status >= 200 && answer.status < 300) {
            request.onServed(milliseconds(Math.max(0, now - sentAt - request.roundTrip)));
        }
        return { kind: "answered", answer };
    }
}

const methodsWithoutBody = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);
