/**
 * What this box learns of the rates that servers name, from their answers.
 *
 * Owns the list of servers that have named one; relies on the state of each server
 * for the newest word of its life.
 */

import { type BackendServer, isFailureStatus, type LimitWord, type ServerCatalog } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { AnsweredLimit, CallerProtocol } from "../callers/caller-protocol.js";

/** The part of an answer that tells of a limit. */
export interface LimitedAnswer {
    readonly status: number;
    readonly headers: NodeJS.Dict<string | string[]>;
}

/** The limits of servers as one box knows them. */
export interface LimitedServers {
    /** An answer of the server to a request that was sent at a time. */
    readonly onAnswer: (server: BackendServer, answer: LimitedAnswer, sentAt: Milliseconds) => void;
    /** An answer to a health check: it may name a limit, but one that names none ends none. */
    readonly onHealthAnswer: (server: BackendServer, headers: LimitedAnswer["headers"]) => void;
    /** Servers that name a limit now. */
    readonly limited: () => readonly BackendServer[];
}

export interface LimitedServersOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: Pick<CallerProtocol, "headers" | "readLimit">;
    readonly catalog: Pick<ServerCatalog, "get">;
}

/** Bytes of a text that is no rate which a line shows. */
const longestShown = 40;

/** Creates the limits; no server has named one. */
export function createLimitedServers(options: LimitedServersOptions): LimitedServers {
    const { clock, log, protocol } = options;
    const known = new Set<BackendServer>();
    const unreadable = new WeakSet<BackendServer>();

    return {
        onAnswer(server, answer, sentAt) {
            const limit = protocol.readLimit(answer.headers);
            if (limit.kind !== "none") {
                onNamed(server, limit);
                return;
            }
            if (server.state.limit() !== undefined && endsLimit(answer)) {
                take(server, { kind: "ended", at: sentAt });
            }
        },
        onHealthAnswer(server, headers) {
            onNamed(server, protocol.readLimit(headers));
        },
        limited: () => current().filter(({ state }) => state.limit()?.kind === "named"),
    };

    function onNamed(server: BackendServer, limit: AnsweredLimit): void {
        switch (limit.kind) {
            case "named":
                take(server, { kind: "named", rate: limit.rate, at: clock() });
                return;
            case "unreadable":
                reportUnreadable(server, limit.text);
                return;
            case "none":
                return;
        }
    }

    /** A failure, and an answer of a server that did not run the request, may come from a part of it that adds no header. */
    function endsLimit({ headers, status }: LimitedAnswer): boolean {
        return !isFailureStatus(status) && headers[protocol.headers.notRun] === undefined;
    }

    function take(server: BackendServer, word: LimitWord): void {
        const before = server.state.limit();
        if (server.state.onLimit(word)) {
            report(server, before);
        }
        known.add(server);
    }

    function report({ id, state }: BackendServer, before: LimitWord | undefined): void {
        const after = state.limit();
        log.info("server.limitChanged", {
            server: id,
            limit: after?.kind === "named" ? after.rate : "none",
            before: before?.kind === "named" ? before.rate : "none",
        });
    }

    /** Once for each life: a server says the same in all its answers. */
    function reportUnreadable(server: BackendServer, text: string): void {
        if (!unreadable.has(server)) {
            unreadable.add(server);
            log.warn("server.limitUnreadable", { server: server.id, text: text.slice(0, longestShown) });
        }
    }

    /** Servers in a life that still goes on. */
    function current(): readonly BackendServer[] {
        [...known].filter(server => options.catalog.get(server.id) !== server).forEach(server => known.delete(server));
        return [...known];
    }
}
