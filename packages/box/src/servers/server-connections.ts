/**
 * Connections to backend servers: kept while they rest, one request at a time
 * on each, and bounded in number for each server.
 *
 * Owns the count of open connections; one that was handed out belongs to its
 * user until it is given back or destroyed.
 */

import {
    type BackendServerId,
    type Clock,
    Err,
    type Milliseconds,
    milliseconds,
    Ok,
    type Result,
} from "@chalkdale/kernel";
import { splitAddress } from "@chalkdale/runtime";
import { connect, type Socket } from "node:net";
import { createIdleConnections, type ServerConnection } from "./idle-connections.js";

/** Why there is no connection. Nothing was sent in any of these cases. */
export type ConnectFailure = "unreachable" | "tooMany" | "cancelled";

/** What is asked of the pool. */
interface ConnectionRequest {
    readonly server: BackendServerId;
    readonly address: string;
    /** A kept connection may have rested this long at most. */
    readonly maxIdleTime: Milliseconds;
    readonly connectTimeout: Milliseconds;
    /** Connections to this server that the box may hold at once. */
    readonly maxConnections: number;
    readonly signal: AbortSignal;
}

/** Connections to all servers. */
export interface ServerConnections {
    readonly acquire: (request: ConnectionRequest) => Promise<Result<ServerConnection, ConnectFailure>>;
    /** Keeps a connection for later use, for at most so long. */
    readonly release: (server: BackendServerId, socket: Socket, rest: Milliseconds) => void;
    /** Closes the idle connections of a server. */
    readonly closeIdle: (server: BackendServerId) => void;
    /** Closes connections that have rested for their time. */
    readonly sweep: () => void;
    readonly count: () => number;
}

export interface ServerConnectionsOptions {
    readonly clock: Clock;
    readonly localAddress: string;
    /** Called with how long the opening of a connection took. */
    readonly onConnected: (server: BackendServerId, duration: Milliseconds) => void;
}

/** Milliseconds after which the kernel asks a silent peer whether it lives. */
const keepAliveDelay = 1000;

/** Creates an empty pool. */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const { clock } = options;
    const idle = createIdleConnections(clock);
    const open = new Map<BackendServerId, number>();

    return {
        async acquire(request) {
            const kept = idle.take(request.server, request.maxIdleTime);
            if (kept !== undefined) {
                return Ok(kept);
            }
            if ((open.get(request.server) ?? 0) >= request.maxConnections) {
                return Err("tooMany" as const);
            }
            return openConnection(request);
        },
        release: idle.keep,
        closeIdle: idle.close,
        sweep: idle.sweep,
        count: () => [...open.values()].reduce((sum, count) => sum + count, 0),
    };

    function openConnection(request: ConnectionRequest): Promise<Result<ServerConnection, ConnectFailure>> {
        return new Promise(resolve => {
            const startedAt = clock();
            const { host, port } = splitAddress(request.address);
            const socket = connect({ host, port, noDelay: true, localAddress: options.localAddress });
            count(request.server, 1);
            socket.once("close", () => count(request.server, -1));
            const timer = setTimeout(() => finish("unreachable"), request.connectTimeout);
            const onAbort = () => finish("cancelled");
            const onError = () => finish("unreachable");
            request.signal.addEventListener("abort", onAbort, { once: true });
            socket.once("error", onError);
            socket.once("connect", () => finish(undefined));

            function finish(failure: ConnectFailure | undefined): void {
                clearTimeout(timer);
                request.signal.removeEventListener("abort", onAbort);
                if (failure !== undefined) {
                    // What still comes of the socket has no reader; the failure itself is logged by the attempt.
                    socket.on("error", () => undefined);
                    socket.destroy();
                    resolve(Err(failure));
                    return;
                }
                socket.removeListener("error", onError);
                socket.setKeepAlive(true, keepAliveDelay);
                options.onConnected(request.server, (clock() - startedAt) as Milliseconds);
                resolve(Ok({ socket, idleTime: milliseconds(0) }));
            }
        });
    }

    function count(server: BackendServerId, change: number): void {
        const next = (open.get(server) ?? 0) + change;
        if (next === 0) {
            open.delete(server);
            return;
        }
        open.set(server, next);
    }
}
