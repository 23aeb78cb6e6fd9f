/**
 * What servers tell this box of themselves in their answers, beside load and limits: that they are leaving,
 * or want nothing from it for a while.
 *
 * Owns which servers were logged; relies on the state of each server to keep what it
 * said, and on whoever calls it to leave out answers of another server.
 */

import type { BackendServer } from "@chalkdale/decisions";
import type { Log } from "@chalkdale/runtime";
import type { AnswerHead, AskedRest, CallerProtocol } from "../callers/caller-protocol.js";

/** The notices of one box. */
export interface ServerNotices {
    /** An answer of the server, to a request or to a health check. */
    readonly onAnswer: (server: BackendServer, answer: AnswerHead) => void;
}

export interface ServerNoticesOptions {
    readonly log: Log;
    readonly protocol: Pick<CallerProtocol, "readLeaving" | "readRest">;
}

/** Characters of a text that is no time which a line shows. */
const longestShown = 40;

/** Creates the notices; no server has told anything. */
export function createServerNotices({ log, protocol }: ServerNoticesOptions): ServerNotices {
    /** Servers whose leaving was logged. */
    const leaving = new WeakSet<BackendServer>();

    return {
        onAnswer(server, answer) {
            if (protocol.readLeaving(answer.headers)) {
                onLeaving(server);
            }
            onRest(server, protocol.readRest(answer));
        },
    };

    function onRest(server: BackendServer, rest: AskedRest): void {
        switch (rest.kind) {
            case "asked":
                log.info("server.asksRest", { server: server.id, duration: rest.duration });
                return;
            case "unreadable":
                log.warn("server.restUnreadable", { server: server.id, text: rest.text.slice(0, longestShown) });
                return;
            case "none":
                return;
        }
    }

    function onLeaving(server: BackendServer): void {
        server.state.onLeaving();
        if (!leaving.has(server)) {
            leaving.add(server);
            log.info("server.saysLeaving", { server: server.id, recordRevision: server.state.record().revision });
        }
    }
}
