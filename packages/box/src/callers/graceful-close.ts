/**
 * Closes a caller's connection such that the answers already written still arrive.
 *
 * TCP resets a connection that is closed with unread bytes, and a reset discards
 * answers that are still in transit: a caller that pipelines would lose its last
 * ones. So the box half-closes first, then reads and discards what still comes
 * until the caller closes its side.
 */

import type { Socket } from "node:net";

/** Milliseconds for which a caller may keep its side open; longer than a round trip. */
const lingerTimeout = 1000;

/** Half-closes once all written bytes are sent; closes fully once the caller has, or after {@link lingerTimeout}. */
export function closeGracefully(socket: Socket): void {
    socket.end();
    const timer = setTimeout(() => socket.destroy(), lingerTimeout).unref();
    socket.once("close", () => clearTimeout(timer));
}
