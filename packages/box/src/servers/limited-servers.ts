/**
 * The rate limits that servers report, as this box learns them from answers and
 * from other boxes.
 *
 * Owns the set of servers that have reported a limit; relies on the state of each
 * server for its latest limit, and on the limit gossip to send it to other boxes.
 */

import { type BackendServer, isFailureStatus, type LimitUpdate, type ServerCatalog } from "@chalkdale/decisions";
import { backendServerId, type Clock, type Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { AnswerHead, CallerProtocol, ParsedRateLimit } from "../callers/caller-protocol.js";
import { createLimitGossip, type LimitGossipOptions, type LimitUpdateSource } from "./limit-gossip.js";
import { decodeLimitReport, isOfSameIncarnation, type LimitReport } from "./limit-messages.js";

/** The rate limits of servers that one box knows. */
export interface LimitedServers {
    /** Applies an answer of the server to a request that was sent at `sentAt`. */
    readonly onAnswer: (server: BackendServer, answer: AnswerHead, sentAt: Milliseconds) => void;
    /** Applies an answer to a health check: it may report a limit, but an answer without one does not end a limit. */
    readonly onHealthCheckAnswer: (server: BackendServer, headers: AnswerHead["headers"]) => void;
    /** Applies limits that another box sent. */
    readonly onReports: (reports: readonly LimitReport[]) => void;
    /** Servers with a limit in force. */
    readonly limited: () => readonly BackendServer[];
    /** Limits to add to a gossip message; undefined if there are none. */
    readonly gossipPayload: () => readonly LimitReport[] | undefined;
    /** Called in each round of gossip. */
    readonly onGossipRound: () => void;
}

export interface LimitedServersOptions extends LimitGossipOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: Pick<CallerProtocol, "headers" | "readRateLimit">;
    readonly catalog: Pick<ServerCatalog, "get">;
}

/** Maximum number of characters of an unreadable rate in a log line. */
const maxLoggedCharacters = 40;

/** Creates the limits of a box that knows none. */
export function createLimitedServers(options: LimitedServersOptions): LimitedServers {
    const { catalog, clock, log, protocol } = options;
    const gossip = createLimitGossip(options);
    const serversWithLimit = new Set<BackendServer>();
    const loggedUnreadable = new WeakSet<BackendServer>();

    return {
        onAnswer(server, answer, sentAt) {
            const limit = protocol.readRateLimit(answer.headers);
            if (limit.kind !== "none") {
                onParsedLimit(server, limit);
                return;
            }
            if (server.state.limit() !== undefined && endsLimit(answer)) {
                applyUpdate(server, { kind: "ended", at: sentAt }, "answer");
            }
        },
        onHealthCheckAnswer(server, headers) {
            onParsedLimit(server, protocol.readRateLimit(headers));
        },
        onReports(reports) {
            reports.forEach(onReport);
        },
        limited: () => currentServers().filter(({ state }) => state.limit()?.kind === "named"),
        gossipPayload: () => gossip.gossipPayload(currentServers()),
        onGossipRound: gossip.onGossipRound,
    };

    function onParsedLimit(server: BackendServer, limit: ParsedRateLimit): void {
        switch (limit.kind) {
            case "named":
                applyUpdate(server, { kind: "named", rate: limit.rate, at: clock() }, "answer");
                return;
            case "unreadable":
                logUnreadable(server, limit.text);
                return;
            case "none":
                return;
        }
    }

    /**
     * True if an answer without the header of the limit shows that the limit has ended. A failure, or an answer to a
     * request that did not run, does not: the part of the server that sends it possibly never adds the header.
     */
    function endsLimit({ headers, status }: AnswerHead): boolean {
        return !isFailureStatus(status) && headers[protocol.headers.notRun] === undefined;
    }

    /** Skips a server or an incarnation that this box does not list; gossip repeats the report until it does. */
    function onReport(report: LimitReport): void {
        const server = catalog.get(backendServerId(report[0]));
        if (server === undefined || !isOfSameIncarnation(report, server.state.record())) {
            return;
        }
        const update = decodeLimitReport(report, clock());
        const newest = server.state.limit();
        // A box that was cut off may still hold a limit after gossip has stopped repeating its end.
        if (newest?.kind === "ended" && update.kind === "named" && update.at < newest.at) {
            gossip.onChanged(server, "outdated");
            return;
        }
        applyUpdate(server, update, "told");
    }

    function applyUpdate(server: BackendServer, update: LimitUpdate, source: LimitUpdateSource): void {
        const before = server.state.limit();
        serversWithLimit.add(server);
        if (server.state.onLimitUpdate(update)) {
            logChange(server, before, source);
            gossip.onChanged(server, source);
        }
    }

    function logChange({ id, state }: BackendServer, before: LimitUpdate | undefined, source: LimitUpdateSource): void {
        log.info("server.limitChanged", { server: id, limit: rateOf(state.limit()), before: rateOf(before), source });
    }

    /** Logs once for each incarnation: a server repeats the text in all its answers. */
    function logUnreadable(server: BackendServer, text: string): void {
        if (!loggedUnreadable.has(server)) {
            loggedUnreadable.add(server);
            log.warn("server.limitUnreadable", { server: server.id, text: text.slice(0, maxLoggedCharacters) });
        }
    }

    /** Servers that have reported a limit; removes those whose incarnation has ended. */
    function currentServers(): readonly BackendServer[] {
        [...serversWithLimit].filter(server => catalog.get(server.id) !== server).forEach(server =>
            serversWithLimit.delete(server)
        );
        return [...serversWithLimit];
    }
}

function rateOf(update: LimitUpdate | undefined): number | "none" {
    return update?.kind === "named" ? update.rate : "none";
}
