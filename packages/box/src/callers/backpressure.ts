/**
 * Backpressure on a caller: pauses and resumes reading from its connection. While
 * reading is paused, the caller's sending blocks.
 *
 * Owns nothing; relies on Node resuming a socket only through its `resume`
 * method. A paused socket has an own property `resume` that does nothing.
 */

import type { Socket } from "node:net";

/** Pauses reading from a socket, unless it is paused already. */
export function pauseReading(socket: Socket): void {
    if (!isReadingPaused(socket)) {
        // Node's HTTP server resumes a socket on its own after each request that it has parsed.
        socket.resume = () => socket;
        socket.pause();
    }
}

/** Resumes reading from a socket that {@link pauseReading} paused. */
export function resumeReading(socket: Socket): void {
    if (isReadingPaused(socket)) {
        Reflect.deleteProperty(socket, "resume");
        socket.resume();
    }
}

/** True while reading from a socket is paused by {@link pauseReading}. */
export function isReadingPaused(socket: Socket): boolean {
    return Object.hasOwn(socket, "resume");
}
