/**
 * The latest requests that this box sent to each server. When a server turns out
 * to be leaving, a log line shows for each of them when the server was chosen, when
 * the request was written, and how old the list of servers was at the choice. This
 * distinguishes an outdated list from a delayed request by the log of the box
 * alone, even if the log's rate limit suppressed the lines of the requests.
 *
 * Owns the latest sends of each server; relies on its owner to call `forget`.
 */

import type { BackendServerId, Clock, Milliseconds } from "@chalkdale/kernel";

/** A request that was sent to a server. Times are those of the box's monotonic clock. */
interface RecentSend {
    readonly requestId: string | undefined;
    /** When the server was chosen. */
    readonly chosenAt: Milliseconds;
    /** When the request was written to the connection. */
    readonly sentAt: Milliseconds;
    /** Time since the store had confirmed the list of servers, at the choice. */
    readonly listAge: Milliseconds;
}

/** The latest sends to each server. */
export interface RecentSends {
    readonly add: (server: BackendServerId, send: RecentSend) => void;
    /** The sends to a server as one field of a log line, the latest first; undefined if there are none. */
    readonly describe: (server: BackendServerId) => string | undefined;
    readonly forget: (server: BackendServerId) => void;
}

/** Sends kept for each server: about 100 bytes each, 0.7 MB for 900 servers. */
const maxSendsPerServer = 8;

/** Creates an empty record of sends. */
export function createRecentSends(clock: Clock): RecentSends {
    const byServer = new Map<BackendServerId, RecentSend[]>();

    return {
        add(server, send) {
            const sends = byServer.get(server) ?? [];
            sends.unshift(send);
            sends.length = Math.min(sends.length, maxSendsPerServer);
            byServer.set(server, sends);
        },
        describe(server) {
            const sends = byServer.get(server);
            return sends?.map(describeSend).join(",");
        },
        forget: server => void byServer.delete(server),
    };

    /** `id:age:wait:listAge`, in whole milliseconds. */
    function describeSend({ chosenAt, listAge, requestId, sentAt }: RecentSend): string {
        const times = [clock() - sentAt, sentAt - chosenAt, listAge].map(Math.round);
        return [requestId ?? "unnamed", ...times].join(":");
    }
}
