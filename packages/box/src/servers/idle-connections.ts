/**
 * Idle connections to backend servers.
 *
 * Owns each connection while it is idle: one that receives data, or that its
 * server closes, is closed and never reused.
 */

import { type BackendServerId, type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { Socket } from "node:net";

/** Idle connections by server. */
export interface IdleConnections {
    /**
     * Takes the connection that became idle last of those that `isAllowed` accepts, if it has been idle for at most
     * `maxIdleTime`.
     */
    readonly take: (
        server: BackendServerId,
        maxIdleTime: Milliseconds,
        isAllowed: (socket: Socket) => boolean,
    ) => ServerConnection | undefined;
    /** Keeps a connection for at most `idleTimeout`; closes it at once if that is not above 0. */
    readonly keep: (server: BackendServerId, socket: Socket, idleTimeout: Milliseconds) => void;
    /** Closes the connection to a server that has been idle for longest; false if there is none. */
    readonly closeOldest: (server: BackendServerId) => boolean;
    /** Closes all connections of a server. */
    readonly close: (server: BackendServerId) => void;
    /** Closes all connections whose idle timeout has passed. */
    readonly sweep: () => void;
}

/** A connection for one request. */
export interface ServerConnection {
    readonly socket: Socket;
    /** How long it was idle; 0 for a new one. */
    readonly idleTime: Milliseconds;
}

interface IdleConnection {
    readonly socket: Socket;
    readonly since: Milliseconds;
    readonly until: number;
    readonly drop: () => void;
}

/** An idle connection is closed at any of these events: a server sends nothing between two requests. */
const closingEvents = ["data", "end", "error", "close"];

/** Creates an empty collection. */
export function createIdleConnections(clock: Clock): IdleConnections {
    const byServer = new Map<BackendServerId, IdleConnection[]>();

    return {
        take(server, maxIdleTime, isAllowed) {
            const connections = byServer.get(server) ?? [];
            for (let index = connections.length - 1; index >= 0; index--) {
                const connection = connections[index];
                if (clock() > connection.until || connection.socket.destroyed) {
                    removeListeners(connection);
                    connection.socket.destroy();
                    connections.splice(index, 1);
                    continue;
                }
                if (!isAllowed(connection.socket)) {
                    continue;
                }
                if (!isUsable(connection, maxIdleTime)) {
                    // The rest have been idle even longer, but all may serve a request with a greater `maxIdleTime`.
                    return undefined;
                }
                removeListeners(connection);
                connections.splice(index, 1);
                return { socket: connection.socket, idleTime: milliseconds(clock() - connection.since) };
            }
            return undefined;
        },
        keep(server, socket, idleTimeout) {
            if (socket.destroyed || idleTimeout <= 0) {
                socket.destroy();
                return;
            }
            const drop = () => {
                socket.destroy();
                remove(server, socket);
            };
            const connection = { socket, since: clock(), until: clock() + idleTimeout, drop };
            addListeners(connection);
            const connections = byServer.get(server) ?? [];
            connections.push(connection);
            byServer.set(server, connections);
        },
        closeOldest(server) {
            const [oldest] = byServer.get(server) ?? [];
            oldest?.drop();
            return oldest !== undefined;
        },
        close: server => {
            [...byServer.get(server) ?? []].forEach(connection => connection.drop());
        },
        sweep() {
            for (const connections of byServer.values()) {
                connections.filter(connection => clock() > connection.until).forEach(connection => connection.drop());
            }
        },
    };

    function isUsable({ since, socket, until }: IdleConnection, maxIdleTime: Milliseconds): boolean {
        const isFresh = clock() - since <= maxIdleTime && clock() <= until;
        return isFresh && socket.writable && !socket.destroyed;
    }

    function remove(server: BackendServerId, socket: Socket): void {
        const connections = byServer.get(server) ?? [];
        const index = connections.findIndex(connection => connection.socket === socket);
        if (index >= 0) {
            connections.splice(index, 1);
        }
    }
}

function addListeners({ drop, socket }: IdleConnection): void {
    closingEvents.forEach(event => socket.on(event, drop));
}

function removeListeners({ drop, socket }: IdleConnection): void {
    closingEvents.forEach(event => socket.removeListener(event, drop));
}
