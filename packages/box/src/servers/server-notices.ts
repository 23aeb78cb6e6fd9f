/**
 * What servers tell this box of themselves in their answers, beside load and limits: that they are leaving,
 * or want nothing from it for a while.
 *
 * Owns which servers were logged; relies on the state of each server to keep what it
 * said, and on whoever calls it to leave out answers of another server.
 */

import { type BackendServer, describePosition, type ServerCatalog } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { AnswerHead, CallerProtocol, ParsedBackoff } from "../callers/caller-protocol.js";

/** The notices of one box. */
export interface ServerNotices {
    /** An answer of the server, to a request or to a health check. */
    readonly onAnswer: (server: BackendServer, answer: AnswerHead) => void;
    /** Servers that want nothing from this box now. */
    readonly backedOffCount: () => number;
}

export interface ServerNoticesOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: Pick<CallerProtocol, "readLeaving" | "readBackoff">;
    readonly catalog: Pick<ServerCatalog, "all">;
}

/** Characters of a text that is no time which a line shows. */
const longestShown = 40;

/** Creates the notices; no server has told anything. */
export function createServerNotices({ catalog, clock, log, protocol }: ServerNoticesOptions): ServerNotices {
    /** Servers whose leaving, or whose unreadable time, was logged: they say the same in all their answers. */
    const leaving = new WeakSet<BackendServer>();
    const unreadable = new WeakSet<BackendServer>();

    return {
        onAnswer(server, answer) {
            if (protocol.readLeaving(answer.headers)) {
                onLeaving(server);
            }
            onBackoff(server, protocol.readBackoff(answer));
        },
        backedOffCount: () => [...catalog.all()].filter(({ state }) => state.backoffUntil() > clock()).length,
    };

    function onBackoff(server: BackendServer, asked: ParsedBackoff): void {
        switch (asked.kind) {
            case "asked":
                startBackoff(server, asked.duration);
                return;
            case "unreadable":
                reportUnreadable(server, asked.text);
                return;
            case "none":
                return;
        }
    }

    function reportUnreadable(server: BackendServer, text: string): void {
        if (!unreadable.has(server)) {
            unreadable.add(server);
            log.warn("server.backoffUnreadable", { server: server.id, text: text.slice(0, longestShown) });
        }
    }

    /** Logged as it begins: each request that was under way brings such an answer. */
    function startBackoff(server: BackendServer, duration: Milliseconds): void {
        const wasBackedOff = server.state.backoffUntil() > clock();
        server.state.onBackoff(clock(), duration);
        if (!wasBackedOff) {
            log.info("server.asksBackoff", { server: server.id, duration });
        }
    }

    function onLeaving(server: BackendServer): void {
        server.state.onLeaving();
        if (!leaving.has(server)) {
            leaving.add(server);
            log.info("server.saysLeaving", {
                server: server.id,
                recordRevision: describePosition(server.state.record().revision),
            });
        }
    }
}
