/**
 * What servers tell this box of themselves in their answers, beside load and limits: that they are leaving.
 *
 * Owns which servers were logged; relies on the state of each server to keep what it
 * said, and on whoever calls it to leave out answers of another server.
 */

import type { BackendServer } from "@chalkdale/decisions";
import type { Log } from "@chalkdale/runtime";
import type { CallerProtocol } from "../callers/caller-protocol.js";

/** Headers of an answer. */
type AnswerHeaders = NodeJS.Dict<string | string[]>;

/** The notices of one box. */
export interface ServerNotices {
    /** An answer of the server, to a request or to a health check. */
    readonly onAnswer: (server: BackendServer, headers: AnswerHeaders) => void;
}

export interface ServerNoticesOptions {
    readonly log: Log;
    readonly protocol: Pick<CallerProtocol, "readLeaving">;
}

/** Creates the notices; no server has told anything. */
export function createServerNotices({ log, protocol }: ServerNoticesOptions): ServerNotices {
    /** Servers whose leaving was logged. */
    const leaving = new WeakSet<BackendServer>();

    return {
        onAnswer(server, headers) {
            if (protocol.readLeaving(headers)) {
                onLeaving(server);
            }
        },
    };

    function onLeaving(server: BackendServer): void {
        server.state.onLeaving();
        if (!leaving.has(server)) {
            leaving.add(server);
            log.info("server.saysLeaving", { server: server.id, recordRevision: server.state.record().revision });
        }
    }
}
