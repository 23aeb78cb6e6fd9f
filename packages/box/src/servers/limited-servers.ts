/**
 * What this box learns of the rates that servers name, from their answers and
 * from other boxes.
 *
 * Owns the list of servers that have named one; relies on the state of each server
 * for the newest word of its life, and on the news for what others are told.
 */

import { type BackendServer, isFailureStatus, type LimitUpdate, type ServerCatalog } from "@chalkdale/decisions";
import { backendServerId, type Clock, type Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { AnswerHead, CallerProtocol, ParsedRateLimit } from "../callers/caller-protocol.js";
import { createLimitGossip, type LimitGossipOptions, type LimitUpdateSource } from "./limit-gossip.js";
import { decodeLimitReport, isOfSameIncarnation, type LimitReport } from "./limit-messages.js";

/** The limits of servers as one box knows them. */
export interface LimitedServers {
    /** An answer of the server to a request that was sent at a time. */
    readonly onAnswer: (server: BackendServer, answer: AnswerHead, sentAt: Milliseconds) => void;
    /** An answer to a health check: it may name a limit, but one that names none ends none. */
    readonly onHealthCheckAnswer: (server: BackendServer, headers: AnswerHead["headers"]) => void;
    /** Another box tells of limits. */
    readonly onReports: (reports: readonly LimitReport[]) => void;
    /** Servers that name a limit now. */
    readonly limited: () => readonly BackendServer[];
    /** What goes with gossip; undefined while there is nothing to tell. */
    readonly gossipPayload: () => readonly LimitReport[] | undefined;
    /** Due with each round of gossip. */
    readonly onGossipRound: () => void;
}

export interface LimitedServersOptions extends LimitGossipOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: Pick<CallerProtocol, "headers" | "readRateLimit">;
    readonly catalog: Pick<ServerCatalog, "get">;
}

/** Characters of a text that is no rate which a line shows. */
const longestShown = 40;

/** Creates the limits; no server has named one. */
export function createLimitedServers(options: LimitedServersOptions): LimitedServers {
    const { catalog, clock, log, protocol } = options;
    const news = createLimitGossip(options);
    const known = new Set<BackendServer>();
    const unreadable = new WeakSet<BackendServer>();

    return {
        onAnswer(server, answer, sentAt) {
            const limit = protocol.readRateLimit(answer.headers);
            if (limit.kind !== "none") {
                onNamed(server, limit);
                return;
            }
            if (server.state.limit() !== undefined && endsLimit(answer)) {
                take(server, { kind: "ended", at: sentAt }, "answer");
            }
        },
        onHealthCheckAnswer(server, headers) {
            onNamed(server, protocol.readRateLimit(headers));
        },
        onReports(reports) {
            reports.forEach(onReport);
        },
        limited: () => current().filter(({ state }) => state.limit()?.kind === "named"),
        gossipPayload: () => news.gossipPayload(current()),
        onGossipRound: news.onGossipRound,
    };

    function onNamed(server: BackendServer, limit: ParsedRateLimit): void {
        switch (limit.kind) {
            case "named":
                take(server, { kind: "named", rate: limit.rate, at: clock() }, "answer");
                return;
            case "unreadable":
                reportUnreadable(server, limit.text);
                return;
            case "none":
                return;
        }
    }

    /** A failure, and an answer of a server that did not run the request, may come from a part of it that adds no header. */
    function endsLimit({ headers, status }: AnswerHead): boolean {
        return !isFailureStatus(status) && headers[protocol.headers.notRun] === undefined;
    }

    /** A server that is not listed here yet is told of again. */
    function onReport(report: LimitReport): void {
        const server = catalog.get(backendServerId(report[0]));
        if (server === undefined || !isOfSameIncarnation(report, server.state.record())) {
            return;
        }
        const word = decodeLimitReport(report, clock());
        const newest = server.state.limit();
        // A box that was cut off may hold a limit that has ended, and nobody tells of the end any more.
        if (newest?.kind === "ended" && word.kind === "named" && word.at < newest.at) {
            news.onChanged(server, "outdated");
            return;
        }
        take(server, word, "told");
    }

    function take(server: BackendServer, word: LimitUpdate, source: LimitUpdateSource): void {
        const before = server.state.limit();
        known.add(server);
        if (server.state.onLimitUpdate(word)) {
            report(server, before, source);
            news.onChanged(server, source);
        }
    }

    function report({ id, state }: BackendServer, before: LimitUpdate | undefined, source: LimitUpdateSource): void {
        log.info("server.limitChanged", { server: id, limit: rateOf(state.limit()), before: rateOf(before), source });
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
        [...known].filter(server => catalog.get(server.id) !== server).forEach(server => known.delete(server));
        return [...known];
    }
}

function rateOf(word: LimitUpdate | undefined): number | "none" {
    return word?.kind === "named" ? word.rate : "none";
}
