/**
 * Connections to backend servers that rest between two requests.
 *
 * Owns them while they rest: one on which anything comes, or which its server
 * ends, is closed and never used again.
 */

import { type BackendServerId, type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { Socket } from "node:net";

/** Resting connections by server. */
export interface IdleConnections {
    /** Takes the connection that rested the shortest, if it is fresh enough. */
    readonly take: (server: BackendServerId, longestRest: Milliseconds) => ServerConnection | undefined;
    /** Keeps a connection for at most so long. */
    readonly keep: (server: BackendServerId, socket: Socket, rest: Milliseconds) => void;
    /** Closes those of a server. */
    readonly close: (server: BackendServerId) => void;
    /** Closes those that have rested for their time. */
    readonly sweep: () => void;
}

/** A connection for one request. */
export interface ServerConnection {
    readonly socket: Socket;
    /** How long it rested; 0 for a new one. */
    readonly idleTime: Milliseconds;
}

interface IdleConnection {
    readonly socket: Socket;
    readonly since: Milliseconds;
    readonly until: number;
    readonly drop: () => void;
}

/** Whatever of these comes while a connection rests ends it. */
const endingEvents = ["data", "end", "error", "close"];

/** Creates an empty collection. */
export function createIdleConnections(clock: Clock): IdleConnections {
    const byServer = new Map<BackendServerId, IdleConnection[]>();

    return {
        take(server, longestRest) {
            const list = byServer.get(server) ?? [];
            while (list.length > 0) {
                const connection = list.pop()!;
                stopListening(connection);
                if (isUsable(connection, longestRest)) {
                    return { socket: connection.socket, idleTime: milliseconds(clock() - connection.since) };
                }
                if (clock() > connection.until || connection.socket.destroyed) {
                    connection.socket.destroy();
                    continue;
                }
                // Older ones have rested longer still, but may serve a request with a longer bound.
                listen(connection);
                list.push(connection);
                return undefined;
            }
            return undefined;
        },
        keep(server, socket, rest) {
            if (socket.destroyed || rest <= 0) {
                socket.destroy();
                return;
            }
            const drop = () => {
                socket.destroy();
                remove(server, socket);
            };
            const connection = { socket, since: clock(), until: clock() + rest, drop };
            listen(connection);
            const list = byServer.get(server) ?? [];
            list.push(connection);
            byServer.set(server, list);
        },
        close: server => {
            [...byServer.get(server) ?? []].forEach(connection => connection.drop());
        },
        sweep() {
            for (const list of byServer.values()) {
                list.filter(connection => clock() > connection.until).forEach(connection => connection.drop());
            }
        },
    };

    function isUsable({ since, socket, until }: IdleConnection, longestRest: Milliseconds): boolean {
        const isFresh = clock() - since <= longestRest && clock() <= until;
        return isFresh && socket.writable && !socket.destroyed;
    }

    function remove(server: BackendServerId, socket: Socket): void {
        const list = byServer.get(server) ?? [];
        const index = list.findIndex(connection => connection.socket === socket);
        if (index >= 0) {
            list.splice(index, 1);
        }
    }
}

function listen({ drop, socket }: IdleConnection): void {
    endingEvents.forEach(event => socket.on(event, drop));
}

function stopListening({ drop, socket }: IdleConnection): void {
    endingEvents.forEach(event => socket.removeListener(event, drop));
}
