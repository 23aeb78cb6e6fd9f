/**
 * The connections of callers, and which of them rest.
 *
 * Node's own `closeIdleConnections` takes a connection as idle once its answer
 * was written, also while the caller still reads it; here it is idle only once
 * all its answers have left the process.
 *
 * Owns the pipeline of each connection; relies on the server's events.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { CallerPipeline } from "./caller-exchange.js";
import { type CallerPipelinesOptions, createCallerPipelines } from "./caller-pipeline.js";
import { statusOfParseError } from "./invalid-requests.js";

/** Connections of one server. */
export interface CallerConnections {
    /** Requests whose answers have not left yet. */
    readonly inFlight: () => number;
    /** Ends the connections that rest, in order. */
    readonly closeIdle: () => void;
    readonly count: () => number;
}

/** Status for a method that no server can serve, and for a request without a host. */
const badRequest = 400;
/** The caller ended its side within a request. */
const endWithinRequest = "HPE_INVALID_EOF_STATE";

/** Serves the requests of a server's connections from now on. */
export function serveCallers(server: Server, options: CallerPipelinesOptions): CallerConnections {
    const pipelines = createCallerPipelines(options);
    const open = new Map<Duplex, CallerPipeline>();

    server.on("connection", socket => {
        open.set(socket, pipelines.open(socket));
        socket.once("close", () => {
            withPipeline(socket, pipelines.onClosed);
            open.delete(socket);
        });
    });
    server.on("request", (request, response) => onRequest(request, response, false));
    // Node would tell a caller to send its body before anyone has looked at the head.
    server.on("checkContinue", (request, response) => onRequest(request, response, true));
    // Node would answer without the pipeline's knowledge.
    server.on("checkExpectation", (request, response) => onRequest(request, response, false));
    // Without this listener Node ends the connection at once, whatever is in progress on it.
    server.on("connect", (_request, socket) => {
        follow(socket);
        withPipeline(socket, pipeline => pipelines.onInvalidRequest(pipeline, badRequest));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const status = statusOfParseError(error.code);
        if (status === undefined) {
            socket.destroy();
            return;
        }
        withPipeline(socket, pipeline => pipelines.onInvalidRequest(pipeline, status));
        if (error.code === endWithinRequest) {
            socket.end();
        }
    });

    return {
        inFlight: () => [...open.values()].reduce((sum, pipeline) => sum + pipeline.startedCount, 0),
        closeIdle: () => open.forEach(pipelines.closeIfIdle),
        count: () => open.size,
    };

    function onRequest(request: IncomingMessage, response: ServerResponse, awaitsContinue: boolean): void {
        withPipeline(request.socket, pipeline => {
            if (lacksHost(request)) {
                request.resume();
                pipelines.onInvalidRequest(pipeline, badRequest);
                return;
            }
            pipelines.onRequest(pipeline, request, response, awaitsContinue);
        });
    }

    function withPipeline(socket: Duplex, act: (pipeline: CallerPipeline) => void): void {
        const pipeline = open.get(socket);
        if (pipeline !== undefined) {
            act(pipeline);
        }
    }
}

/** Node would answer such a request by itself, and end the connection without the pipeline's knowledge. */
function lacksHost({ headers, httpVersion }: IncomingMessage): boolean {
    return httpVersion === "1.1" && headers.host === undefined;
}

/** Node takes its own listeners off a socket that asks for a tunnel: a reset would end the process, and no end be seen. */
function follow(socket: Duplex): void {
    socket.on("error", () => socket.destroy());
    socket.on("end", () => socket.end());
    socket.resume();
}
