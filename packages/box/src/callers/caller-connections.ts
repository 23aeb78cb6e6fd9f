/**
 * Tracks the connections of callers and closes the idle ones.
 *
 * Node's `closeIdleConnections` treats a connection as idle once its answer was
 * written, even while the caller is still reading it. Here a connection is idle
 * only once all its answers have left the process.
 *
 * Owns the pipeline of each connection; relies on the events of Node's HTTP server.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { createConnectionLimiter } from "../connection-limiter.js";
import type { CallerPipeline } from "./caller-exchange.js";
import { type CallerPipelinesOptions, createCallerPipelines } from "./caller-pipeline.js";
import { statusOfParseError } from "./invalid-requests.js";

/** The caller connections of one HTTP server. */
export interface CallerConnections {
    /** Returns the number of started requests whose answers have not left the process yet. */
    readonly inFlight: () => number;
    /** Closes the idle connections gracefully. */
    readonly closeIdle: () => void;
    /** Returns the number of open connections. */
    readonly count: () => number;
}

export interface CallerConnectionsOptions extends CallerPipelinesOptions {
    /** Connections that may be open at once; idle ones are closed beyond that. */
    readonly maxConnections: number;
}

/** Status for a CONNECT request and for a request without a Host header. */
const badRequest = 400;
/** Code of Node's parser error when the caller ends its side within a request. */
const eofWithinRequest = "HPE_INVALID_EOF_STATE";

/** Attaches to an HTTP server and serves the requests of all its connections. */
export function serveCallers(server: Server, options: CallerConnectionsOptions): CallerConnections {
    const pipelines = createCallerPipelines(options);
    const openPipelines = new Map<Duplex, CallerPipeline>();
    const limiter = createConnectionLimiter({
        maxConnections: options.maxConnections,
        isIdle: socket => openPipelines.get(socket)?.exchanges.length === 0,
    });

    server.on("connection", socket => {
        limiter.onOpened(socket);
        openPipelines.set(socket, pipelines.open(socket));
        // A reset without an end: "close" comes only after the checks that follow the poll.
        socket.once("error", () => withPipeline(socket, pipelines.onEnded));
        socket.once("end", () => withPipeline(socket, pipelines.onEnded));
        socket.once("close", () => {
            withPipeline(socket, pipelines.onClosed);
            openPipelines.delete(socket);
        });
    });
    server.on("request", (request, response) => onRequest(request, response, false));
    // Without this listener Node would send 100 Continue before the head has been checked.
    server.on("checkContinue", (request, response) => onRequest(request, response, true));
    // Without this listener Node would answer the request itself, bypassing the pipeline.
    server.on("checkExpectation", (request, response) => onRequest(request, response, false));
    // Without this listener Node closes the connection at once, even with requests in progress on it.
    server.on("connect", (_request, socket) => {
        attachTunnelListeners(socket);
        withPipeline(socket, pipeline => pipelines.onInvalidRequest(pipeline, badRequest));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const status = statusOfParseError(error.code);
        if (status === undefined) {
            socket.destroy();
            return;
        }
        withPipeline(socket, pipeline => pipelines.onInvalidRequest(pipeline, status));
        if (error.code === eofWithinRequest) {
            socket.end();
        }
    });

    return {
        inFlight: () => [...openPipelines.values()].reduce((sum, pipeline) => sum + pipeline.startedCount, 0),
        closeIdle: () => openPipelines.forEach(pipelines.closeIfIdle),
        count: () => openPipelines.size,
    };

    function onRequest(request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void {
        limiter.onUsed(request.socket);
        withPipeline(request.socket, pipeline => {
            if (lacksHost(request)) {
                request.resume();
                pipelines.onInvalidRequest(pipeline, badRequest);
                return;
            }
            pipelines.onRequest(pipeline, request, response, expectsContinue);
        });
    }

    function withPipeline(socket: Duplex, action: (pipeline: CallerPipeline) => void): void {
        const pipeline = openPipelines.get(socket);
        if (pipeline !== undefined) {
            action(pipeline);
        }
    }
}

/**
 * True for an HTTP/1.1 request without the required Host header. By default Node would answer it itself and close the
 * connection, bypassing the pipeline.
 */
function lacksHost({ headers, httpVersion }: IncomingMessage): boolean {
    return httpVersion === "1.1" && headers.host === undefined;
}

/**
 * Attaches listeners to the socket of a CONNECT request, from which Node removes its own: without them a reset would
 * crash the process, and the caller's end of the connection would go unnoticed.
 */
function attachTunnelListeners(socket: Duplex): void {
    socket.on("error", () => socket.destroy());
    socket.on("end", () => socket.end());
    socket.resume();
}
