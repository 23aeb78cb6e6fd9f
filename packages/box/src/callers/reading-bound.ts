/**
 * Stops the reading of a caller's connection, so that the caller's own sending
 * stops, and goes on with it.
 *
 * Owns whether the connection is read; relies on Node resuming a socket by its
 * `resume` only.
 */

import type { Socket } from "node:net";

/** Whether one connection is read. */
export interface ReadingBound {
    readonly stop: () => void;
    readonly goOn: () => void;
}

/** Creates it for a connection that is read. */
export function createReadingBound(socket: Socket): ReadingBound {
    let isStopped = false;

    return {
        stop() {
            if (isStopped) {
                return;
            }
            isStopped = true;
            // Node's HTTP server resumes a socket by itself after each request that it has parsed.
            socket.resume = () => socket;
            socket.pause();
        },
        goOn() {
            if (!isStopped) {
                return;
            }
            isStopped = false;
            Reflect.deleteProperty(socket, "resume");
            socket.resume();
        },
    };
}
