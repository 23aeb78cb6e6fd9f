/**
 * Ends a caller's connection so that what was written still arrives.
 *
 * A connection that is closed while the caller's bytes lie unread is reset, and a
 * reset overtakes the answers that are on their way: a caller that pipelines would
 * lose its last ones. So the end goes out first, and what still comes is read and
 * dropped until the caller ends its side.
 */

import type { Socket } from "node:net";

/** Milliseconds for which a caller may leave its side open: longer than the way there and back. */
const longestLinger = 1000;

/** Sends the end behind what was written; closes once the caller has ended too, or after a while. */
export function closeGracefully(socket: Socket): void {
    socket.end();
    const timer = setTimeout(() => socket.destroy(), longestLinger).unref();
    socket.once("close", () => clearTimeout(timer));
}
