/**
 * Stops the reading of a caller's connection, so that the caller's own sending
 * stops, and goes on with it.
 *
 * Owns nothing; relies on Node resuming a socket by its `resume` only. A
 * connection that isn't read carries a `resume` of its own.
 */

import type { Socket } from "node:net";

/** Stops the reading, if it is not stopped yet. */
export function pauseReading(socket: Socket): void {
    if (!isStopped(socket)) {
        // Node's HTTP server resumes a socket by itself after each request that it has parsed.
        socket.resume = () => socket;
        socket.pause();
    }
}

/** Reads on, if the reading was stopped. */
export function resumeReading(socket: Socket): void {
    if (isStopped(socket)) {
        Reflect.deleteProperty(socket, "resume");
        socket.resume();
    }
}

function isStopped(socket: Socket): boolean {
    return Object.hasOwn(socket, "resume");
}
