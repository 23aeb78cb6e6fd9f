/**
 * Keeps a server within its share of the box's file descriptors: when another connection opens, the one that has been
 * idle for longest is closed, of the address that has most. Without a limit, connections that nobody uses would take
 * all descriptors, and the box could accept none from its callers.
 *
 * Owns the order in which the connections were used last; relies on its user to report when they are used.
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/** The open connections of one server. */
export interface ConnectionLimiter {
    /** A connection was accepted; closes another one, or this one if all others are in use, beyond the limit. */
    readonly onOpened: (socket: Socket) => void;
    /** A request was read from a connection. */
    readonly onUsed: (socket: Socket) => void;
}

export interface ConnectionLimiterOptions {
    readonly maxConnections: number;
    /** True if a connection has no request in progress. */
    readonly isIdle: (socket: Socket) => boolean;
}

/** What listens for connections. */
export type ListenerKind = "callers" | "lookUps" | "boxes" | "monitoring";

/**
 * Fractions of the box's file descriptors; the rest is for connections that the box opens, to servers and other boxes.
 * Up to 511 connections are accepted before the first of them is read.
 */
const descriptorShares: Readonly<Record<ListenerKind, number>> = {
    callers: 1 / 2,
    lookUps: 1 / 8,
    boxes: 1 / 8,
    monitoring: 1 / 32,
};

/** Returns how many connections a listener may have open. `descriptorLimit` undefined: there is no limit. */
export function connectionLimitOf(kind: ListenerKind, descriptorLimit: number | undefined): number {
    return Math.floor((descriptorLimit ?? Infinity) * descriptorShares[kind]);
}

/** Limits the connections of a server that has no other record of its requests in progress. */
export function limitConnections(server: Server, maxConnections: number): void {
    const inProgress = new WeakMap<Socket, number>();
    const limiter = createConnectionLimiter({
        maxConnections,
        isIdle: socket => (inProgress.get(socket) ?? 0) === 0,
    });
    server.on("connection", limiter.onOpened);
    server.on("request", ({ socket }, response) => {
        limiter.onUsed(socket);
        inProgress.set(socket, (inProgress.get(socket) ?? 0) + 1);
        response.once("close", () => inProgress.set(socket, (inProgress.get(socket) ?? 0) - 1));
    });
}

/** Creates the limiter of a server without connections. */
export function createConnectionLimiter({ isIdle, maxConnections }: ConnectionLimiterOptions): ConnectionLimiter {
    /** Address by connection; the connection that was used or opened last comes last. */
    const addresses = new Map<Socket, string>();
    const countByAddress = new Map<string, number>();

    return {
        onOpened(socket) {
            const address = socket.remoteAddress ?? "";
            addresses.set(socket, address);
            countByAddress.set(address, (countByAddress.get(address) ?? 0) + 1);
            socket.once("close", () => forget(socket));
            if (addresses.size > maxConnections) {
                const surplus = longestIdle(socket) ?? socket;
                forget(surplus);
                surplus.destroy();
            }
        },
        onUsed(socket) {
            const address = addresses.get(socket);
            if (address !== undefined) {
                addresses.delete(socket);
                addresses.set(socket, address);
            }
        },
    };

    function forget(socket: Socket): void {
        const address = addresses.get(socket);
        if (address === undefined) {
            return;
        }
        addresses.delete(socket);
        const count = (countByAddress.get(address) ?? 0) - 1;
        if (count === 0) {
            countByAddress.delete(address);
            return;
        }
        countByAddress.set(address, count);
    }

    /** Returns the connection to close; undefined if all but the newest are in use. */
    function longestIdle(newest: Socket): Socket | undefined {
        const busiestAddress = [...countByAddress].reduce((most, entry) => entry[1] > most[1] ? entry : most)[0];
        let ofAnyAddress: Socket | undefined;
        for (const [socket, address] of addresses) {
            if (socket === newest || !isIdle(socket)) {
                continue;
            }
            if (address === busiestAddress) {
                return socket;
            }
            ofAnyAddress ??= socket;
        }
        return ofAnyAddress;
    }
}
