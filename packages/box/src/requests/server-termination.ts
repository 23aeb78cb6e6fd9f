/**
 * Finds out whether a server ended under a request, after a connection to it was closed.
 *
 * Owns nothing; relies on the path monitor, which also asks other boxes: a link that was reset is no end of a server.
 */

import type { BackendServer } from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { PathMonitor } from "../paths/path-monitor.js";

/**
 * Resolves with the time at which the server ended; undefined if it still runs. A server that closed the connection and
 * that nobody reaches now has ended, unless it was leaving service as planned. Never rejects.
 */
export type FindTermination = (server: BackendServer) => Promise<Milliseconds | undefined>;

/**
 * Milliseconds within which all connections to a server that has ended break: a check that began within this time
 * before the break still counts, so that one check serves all of them.
 */
const sharedCheckWindow = 100;

/** Returns the function that finds terminations; called when a connection to the server has just closed. */
export function createFindTermination(clock: Clock, paths: Pick<PathMonitor, "check">): FindTermination {
    return async server => {
        const brokenAt = clock();
        if (server.state.isOutOfService()) {
            return undefined;
        }
        const reachedBy = await paths.check(server, milliseconds(brokenAt - sharedCheckWindow));
        return reachedBy === "none" ? brokenAt : undefined;
    };
}
