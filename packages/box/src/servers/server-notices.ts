/**
 * What servers report about themselves in their answers besides load and rate
 * limits: that they are leaving, or that this box must back off for a while.
 *
 * Owns which notices were logged; relies on the state of each server to keep what
 * it reported, and on its callers to leave out answers of another server.
 */

import { type BackendServer, describePosition, type ServerCatalog } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { AnswerHead, CallerProtocol, ParsedBackoff } from "../callers/caller-protocol.js";

/** The notices of one box. */
export interface ServerNotices {
    /** Applies an answer of the server to a request or a health check. */
    readonly onAnswer: (server: BackendServer, answer: AnswerHead) => void;
    /** Number of servers for which a back-off is in force. */
    readonly backedOffCount: () => number;
}

export interface ServerNoticesOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: Pick<CallerProtocol, "readLeaving" | "readBackoff">;
    readonly catalog: Pick<ServerCatalog, "all">;
}

/** Characters of an unreadable back-off time that a log line shows. */
const maxLoggedCharacters = 40;

/** Creates the notices of a box that has received no answer yet. */
export function createServerNotices({ catalog, clock, log, protocol }: ServerNoticesOptions): ServerNotices {
    /** Servers whose notice was logged: they repeat it in all their answers. */
    const loggedLeaving = new WeakSet<BackendServer>();
    const loggedUnreadable = new WeakSet<BackendServer>();

    return {
        onAnswer(server, answer) {
            if (protocol.readLeaving(answer.headers)) {
                onLeaving(server);
            }
            onBackoff(server, protocol.readBackoff(answer));
        },
        backedOffCount: () => [...catalog.all()].filter(({ state }) => state.backoffUntil() > clock()).length,
    };

    function onBackoff(server: BackendServer, backoff: ParsedBackoff): void {
        switch (backoff.kind) {
            case "asked":
                startBackoff(server, backoff.duration);
                return;
            case "unreadable":
                logUnreadable(server, backoff.text);
                return;
            case "none":
                return;
        }
    }

    function logUnreadable(server: BackendServer, text: string): void {
        if (!loggedUnreadable.has(server)) {
            loggedUnreadable.add(server);
            log.warn("server.backoffUnreadable", { server: server.id, text: text.slice(0, maxLoggedCharacters) });
        }
    }

    /** Logs only the start of a back-off: each request in flight may get the same answer. */
    function startBackoff(server: BackendServer, duration: Milliseconds): void {
        const wasBackedOff = server.state.backoffUntil() > clock();
        server.state.onBackoff(clock(), duration);
        if (!wasBackedOff) {
            log.info("server.asksBackoff", { server: server.id, duration });
        }
    }

    function onLeaving(server: BackendServer): void {
        server.state.onLeaving();
        if (!loggedLeaving.has(server)) {
            loggedLeaving.add(server);
            log.info("server.saysLeaving", {
                server: server.id,
                recordRevision: describePosition(server.state.record().revision),
            });
        }
    }
}
