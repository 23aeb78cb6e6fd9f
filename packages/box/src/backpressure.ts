/**
 * Backpressure on a connection: pauses and resumes reading from it, for several reasons at once. While reading is
 * paused, the other end's sending blocks.
 *
 * Owns the reasons; relies on Node resuming a socket only through its `resume` method. A paused socket has an own
 * property `resume` that does nothing.
 */

import type { Socket } from "node:net";

/** Why reading is paused; reading goes on once no reason is left. */
export type PauseReason =
    /** The caller has too many requests unanswered. */
    | "unansweredRequests"
    /** The memory for bodies is spent. */
    | "bodyMemory"
    /** The next answer on the connection has no parser yet. */
    | "betweenAnswers"
    /** The connection is closing, and more was discarded than its caller can have sent before it knew. */
    | "closing"
    /** The connection has used up its share of the event loop. */
    | "loopShare"
    /** The connection has used much time in this turn of the event loop. */
    | "loopTurn";

const reasons = new WeakMap<Socket, Set<PauseReason>>();

/** Pauses reading from a socket, unless it is paused for that reason already. */
export function pauseReading(socket: Socket, reason: PauseReason): void {
    const current = reasons.get(socket) ?? new Set();
    reasons.set(socket, current.add(reason));
    if (!Object.hasOwn(socket, "resume")) {
        // Node's HTTP server resumes a socket on its own after each request that it has parsed.
        socket.resume = () => socket;
        socket.pause();
    }
}

/** Removes a reason of {@link pauseReading}; resumes reading if it was the last one. */
export function resumeReading(socket: Socket, reason: PauseReason): void {
    const current = reasons.get(socket);
    if (current?.delete(reason) === true && current.size === 0) {
        Reflect.deleteProperty(socket, "resume");
        socket.resume();
    }
}

/** True while reading from a socket is paused by {@link pauseReading}. */
export function isReadingPaused(socket: Socket): boolean {
    return (reasons.get(socket)?.size ?? 0) > 0;
}

/** True while reading from a socket is paused for the reason. */
export function isPausedFor(socket: Socket, reason: PauseReason): boolean {
    return reasons.get(socket)?.has(reason) ?? false;
}
