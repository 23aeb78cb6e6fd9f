/**
 * Connections to backend servers: kept while idle, one request at a time on
 * each, and never used again once anything unexpected came over them.
 */

import { type BackendServerId, type Clock, Err, type Milliseconds, Ok, type Result } from "@chalkdale/kernel";
import { splitAddress } from "@chalkdale/runtime";
import { connect, type Socket } from "node:net";

/** Why there is no connection. Nothing was sent in any of these cases. */
export type ConnectFailure = "unreachable" | "tooMany" | "cancelled";

/** A connection that the caller owns until it gives it back or destroys it. */
interface ServerConnection {
    readonly socket: Socket;
    /** True if it carried a request before. */
    readonly reused: boolean;
}

/** What is asked of the pool. */
interface ConnectionRequest {
    readonly server: BackendServerId;
    readonly address: string;
    /** A kept connection may have rested this long at most. */
    readonly longestRest: Milliseconds;
    readonly connectTimeout: Milliseconds;
    /** Connections to this server that the box may hold at once. */
    readonly most: number;
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

interface IdleConnection {
    readonly socket: Socket;
    readonly since: Milliseconds;
    readonly until: number;
    readonly drop: () => void;
}

export interface ServerConnectionsOptions {
    readonly clock: Clock;
    readonly localAddress: string;
    /** Told how long the opening of a connection took. */
    readonly onConnected: (server: BackendServerId, duration: Milliseconds) => void;
}

/** Time after which a silent peer's kernel is asked whether it lives, in milliseconds. */
const keepAliveDelay = 1000;

/** Creates an empty pool. */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const { clock } = options;
    const idle = new Map<BackendServerId, IdleConnection[]>();
    const open = new Map<BackendServerId, number>();

    return {
        async acquire(request) {
            const kept = takeIdle(request);
            if (kept !== undefined) {
                return Ok({ socket: kept, reused: true });
            }
            if ((open.get(request.server) ?? 0) >= request.most) {
                return Err("tooMany" as const);
            }
            return openConnection(request);
        },
        release(server, socket, rest) {
            if (socket.destroyed || rest <= 0) {
                socket.destroy();
                return;
            }
            const drop = () => {
                socket.destroy();
                removeIdle(server, socket);
            };
            socket.on("data", drop);
            socket.on("end", drop);
            socket.on("error", drop);
            socket.on("close", drop);
            const list = idle.get(server) ?? [];
            list.push({ socket, since: clock(), until: clock() + rest, drop });
            idle.set(server, list);
        },
        closeIdle: server => {
            [...idle.get(server) ?? []].forEach(connection => connection.drop());
        },
        sweep() {
            for (const list of idle.values()) {
                list.filter(connection => clock() > connection.until).forEach(connection => connection.drop());
            }
        },
        count: () => [...open.values()].reduce((sum, count) => sum + count, 0),
    };

    function takeIdle(request: ConnectionRequest): Socket | undefined {
        const list = idle.get(request.server) ?? [];
        while (list.length > 0) {
            const connection = list.pop()!;
            stopListening(connection);
            const rested = clock() - connection.since;
            const isFresh = rested <= request.longestRest && clock() <= connection.until;
            if (isFresh && connection.socket.writable && !connection.socket.destroyed) {
                return connection.socket;
            }
            if (clock() > connection.until || connection.socket.destroyed) {
                connection.socket.destroy();
                continue;
            }
            // Older ones have rested longer still, but may serve a request that can be repeated.
            connection.socket.on("close", connection.drop);
            connection.socket.on("data", connection.drop);
            connection.socket.on("end", connection.drop);
            connection.socket.on("error", connection.drop);
            list.push(connection);
            return undefined;
        }
        return undefined;
    }

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
                    socket.on("error", () => undefined);
                    socket.destroy();
                    resolve(Err(failure));
                    return;
                }
                socket.removeListener("error", onError);
                socket.setKeepAlive(true, keepAliveDelay);
                options.onConnected(request.server, (clock() - startedAt) as Milliseconds);
                resolve(Ok({ socket, reused: false }));
            }
        });
    }

    function removeIdle(server: BackendServerId, socket: Socket): void {
        const list = idle.get(server);
        const index = list?.findIndex(connection => connection.socket === socket) ?? -1;
        if (index >= 0) {
            list!.splice(index, 1);
        }
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

function stopListening(connection: IdleConnection): void {
    for (const event of ["data", "end", "error", "close"]) {
        connection.socket.removeListener(event, connection.drop);
    }
}
