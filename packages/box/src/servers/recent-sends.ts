/**
 * The latest requests that this box sent to each server, kept for the moment at
 * which the server turns out to be leaving: then a line tells of each when it was
 * chosen, when it was written, and how old the list was by which it was chosen.
 * So a list that was old, and a request that was late, can be told apart from the
 * log of the box alone, whatever the budget of lines left out.
 *
 * Owns the latest few sends of each server; relies on its owner to forget servers.
 */

import type { BackendServerId, Clock, Milliseconds } from "@chalkdale/kernel";

/** A request on its way to a server. Times are of the box's monotonic clock. */
interface RecentSend {
    readonly requestId: string | undefined;
    readonly chosenAt: Milliseconds;
    /** When its bytes were handed to the connection. */
    readonly sentAt: Milliseconds;
    /** Time since the store had confirmed the list of servers, when the server was chosen. */
    readonly listAge: Milliseconds;
}

/** The latest sends by server. */
export interface RecentSends {
    readonly add: (server: BackendServerId, send: RecentSend) => void;
    /** Those of a server as one value of a log line, the latest first; undefined if there is none. */
    readonly describe: (server: BackendServerId) => string | undefined;
    readonly forget: (server: BackendServerId) => void;
}

/** Sends that are kept of each server: some 100 bytes each, 0.7 MB at 900 servers. */
const mostKept = 8;

/** Creates the record, empty. */
export function createRecentSends(clock: Clock): RecentSends {
    const byServer = new Map<BackendServerId, RecentSend[]>();

    return {
        add(server, send) {
            const sends = byServer.get(server) ?? [];
            sends.unshift(send);
            sends.length = Math.min(sends.length, mostKept);
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
