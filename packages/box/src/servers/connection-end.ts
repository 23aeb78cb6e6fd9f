/**
 * Tells a reset of a connection from an orderly end.
 *
 * Node reports a reset as an end if it arrives while received bytes are unread, because its event loop takes the
 * hang-up behind a short read for one. The kernel tells the two apart: a connection that was reset has no peer.
 *
 * Owns nothing; relies on nobody reading the peer's address of the socket earlier, because Node keeps it.
 */

import type { Socket } from "node:net";

/** True if the connection was reset; only valid in a listener of the socket's `end`, before the socket ends its side. */
export function hasEndedByReset({ remoteAddress }: Pick<Socket, "remoteAddress">): boolean {
    return remoteAddress === undefined;
}
