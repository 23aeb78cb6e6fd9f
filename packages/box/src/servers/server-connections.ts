/**
 * Pool of connections to backend servers. Each carries one request at a time, is
 * kept while it is idle, and counts towards a maximum for its server.
 *
 * Owns the count of open connections; an acquired connection belongs to its user
 * until it is released or destroyed.
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
import { splitAddress, startTimeout } from "@chalkdale/runtime";
import { connect, type Socket } from "node:net";
import { createCarriedIds } from "./carried-ids.js";
import { createIdleConnections, type ServerConnection } from "./idle-connections.js";

/**
 * Why there is no connection. Nothing was sent in any of these cases. `ended`: the server accepted the connection and
 * ended it at once.
 */
export type ConnectFailure = "unreachable" | "tooMany" | "ended" | "cancelled";

/** A request for a connection. */
interface ConnectionRequest {
    readonly server: BackendServerId;
    readonly address: string;
    /** Idle connections are reused up to this idle time. */
    readonly maxIdleTime: Milliseconds;
    /** Time limit for opening a new connection. */
    readonly connectTimeout: Milliseconds;
    /** Connections to this server that the box may have open at once. */
    readonly maxConnections: number;
    /** A connection that has carried this id is not reused: its server may still send a copy of the earlier answer. */
    readonly requestId: string | undefined;
    readonly signal: AbortSignal;
}

/** A connection that its user no longer needs. */
interface ReleasedConnection {
    readonly server: BackendServerId;
    readonly socket: Socket;
    /** For how long it is kept at most. */
    readonly idleTimeout: Milliseconds;
}

/** Connections to all servers. */
export interface ServerConnections {
    readonly acquire: (request: ConnectionRequest) => Promise<Result<ServerConnection, ConnectFailure>>;
    /** Keeps a connection for reuse, or closes it. */
    readonly release: (released: ReleasedConnection) => void;
    /** Closes the idle connections of a server. */
    readonly closeIdle: (server: BackendServerId) => void;
    /** Closes connections whose idle timeout has passed. */
    readonly sweep: () => void;
    /** Open connections to all servers. */
    readonly count: () => number;
}

export interface ServerConnectionsOptions {
    readonly clock: Clock;
    readonly localAddress: string;
    /** Called with the time that it took to open a connection. */
    readonly onConnected: (server: BackendServerId, duration: Milliseconds) => void;
}

/** Milliseconds without traffic before the kernel sends TCP keep-alive probes. */
const keepAliveDelay = 1000;

/** Creates an empty pool. */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const { clock } = options;
    const carriedIds = createCarriedIds();
    const idle = createIdleConnections(clock);
    const openCounts = new Map<BackendServerId, number>();

    return {
        async acquire(request) {
            const idleConnection = idle.take(request.server, request.maxIdleTime, socket => mayCarry(socket, request));
            if (idleConnection !== undefined) {
                return markCarried(request, Ok(idleConnection));
            }
            if (isAtLimit(request) && !idle.closeOldest(request.server)) {
                return Err("tooMany" as const);
            }
            return markCarried(request, await openConnection(request));
        },
        release,
        closeIdle: idle.close,
        sweep: idle.sweep,
        count: () => [...openCounts.values()].reduce((sum, count) => sum + count, 0),
    };

    function isAtLimit({ maxConnections, server }: ConnectionRequest): boolean {
        return (openCounts.get(server) ?? 0) >= maxConnections;
    }

    function mayCarry(socket: Socket, { requestId }: ConnectionRequest): boolean {
        return requestId === undefined || !carriedIds.has(socket, requestId);
    }

    function markCarried(
        { requestId }: ConnectionRequest,
        acquired: Result<ServerConnection, ConnectFailure>,
    ): Result<ServerConnection, ConnectFailure> {
        if (acquired.ok && requestId !== undefined) {
            carriedIds.add(acquired.val.socket, requestId);
        }
        return acquired;
    }

    function release({ idleTimeout, server, socket }: ReleasedConnection): void {
        if (carriedIds.isFull(socket)) {
            socket.destroy();
            return;
        }
        idle.keep(server, socket, idleTimeout);
    }

    function openConnection(request: ConnectionRequest): Promise<Result<ServerConnection, ConnectFailure>> {
        return new Promise(resolve => {
            const startedAt = clock();
            const { host, port } = splitAddress(request.address);
            const socket = connect({ host, port, noDelay: true, localAddress: options.localAddress });
            changeOpenCount(request.server, 1);
            socket.once("close", () => changeOpenCount(request.server, -1));
            const cancelTimeout = startTimeout(request.connectTimeout, () => finish("unreachable"));
            const onAbort = () => finish("cancelled");
            const onError = () => finish("unreachable");
            request.signal.addEventListener("abort", onAbort, { once: true });
            socket.once("error", onError);
            socket.once("connect", () => finish(undefined));

            function finish(failure: ConnectFailure | undefined): void {
                cancelTimeout();
                request.signal.removeEventListener("abort", onAbort);
                if (failure !== undefined) {
                    // Later errors of the socket are ignored; the attempt logs the failure itself.
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

    function changeOpenCount(server: BackendServerId, change: number): void {
        const next = (openCounts.get(server) ?? 0) + change;
        if (next === 0) {
            openCounts.delete(server);
            return;
        }
        openCounts.set(server, next);
    }
}
