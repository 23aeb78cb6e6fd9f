/**
 * Closes a caller's connection such that the answers already written still arrive.
 *
 * TCP resets a connection that is closed with unread bytes, and a reset discards
 * answers that are still in transit: a caller that pipelines would lose its last
 * ones. So the box half-closes first, then reads and discards what still comes
 * until the caller closes its side.
 */

import type { Socket } from "node:net";
import { pauseReading } from "../backpressure.js";

/** Milliseconds for which a caller may keep its side open; longer than a round trip. */
const lingerTimeout = 1000;

/**
 * Bytes that are discarded at most: a caller that sends without end would have them read at full speed for as long as
 * it may keep its side open.
 */
const maxDiscardedBytes = 16 * 1024 * 1024;

/** Half-closes once all written bytes are sent; closes fully once the caller has, or after {@link lingerTimeout}. */
export function closeGracefully(socket: Socket): void {
    socket.end();
    const timer = setTimeout(() => socket.destroy(), lingerTimeout).unref();
    socket.once("close", () => clearTimeout(timer));
    // What comes after the last answer isn't parsed: a parser takes long for bytes that it rejects.
    socket.removeAllListeners("data");
    let discarded = 0;
    socket.on("data", bytes => {
        discarded += bytes.length;
        if (discarded > maxDiscardedBytes) {
            pauseReading(socket, "closing");
        }
    });
}
