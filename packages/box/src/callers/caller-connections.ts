/**
 * The connections of callers, and which of them rest.
 *
 * Node's own `closeIdleConnections` takes a connection as idle once its answer
 * was written, also while the caller still reads it; here it is idle only once
 * the answer has left the process.
 *
 * Owns the count of requests whose answers have not left; relies on the server's
 * events for each connection and request.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Connections of one server. */
export interface CallerConnections {
    /** Requests whose answers have not left yet. */
    readonly inFlight: () => number;
    /** Ends the connections that rest, in order. */
    readonly endIdle: () => void;
    readonly count: () => number;
}

/** Follows the connections of a server from now on. */
export function trackCallerConnections(server: Server): CallerConnections {
    const busy = new Map<Socket, number>();
    let inFlight = 0;

    server.on("connection", (socket: Socket) => {
        busy.set(socket, 0);
        socket.once("close", () => busy.delete(socket));
    });
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        const { socket } = request;
        inFlight += 1;
        busy.set(socket, (busy.get(socket) ?? 0) + 1);
        response.once("close", () => {
            inFlight -= 1;
            const left = busy.get(socket);
            if (left !== undefined) {
                busy.set(socket, left - 1);
            }
        });
    });

    return {
        inFlight: () => inFlight,
        endIdle() {
            for (const [socket, requests] of busy) {
                if (requests === 0) {
                    socket.end();
                }
            }
        },
        count: () => busy.size,
    };
}
