/**
 * Tells other boxes at once of servers that a health check of this box has found to be cold, and takes their reports:
 * without the store nobody else would tell them.
 *
 * Owns nothing; relies on the state of each server for whether that is news. Any message may be lost.
 */

import type { BackendServer, MemberRecord, ServerCatalog } from "@chalkdale/decisions";
import { backendServerId, type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type ColdReport, encodeColdReport, isOfIncarnation } from "./cold-messages.js";

export interface ColdServerSharingOptions {
    readonly clock: Clock;
    readonly catalog: Pick<ServerCatalog, "get">;
    /** Boxes that any box has heard from lately, without this one: also those that this box does not see now. */
    readonly recentMembers: () => readonly MemberRecord[];
    readonly send: (box: MemberRecord, reports: readonly ColdReport[]) => void;
}

/** Shares what health checks find out about cold servers. */
export interface ColdServerSharing {
    /** A health check of this box has found that the server stays cold for a time. */
    readonly onChecked: (server: BackendServer, coldFor: Milliseconds) => void;
    /** Takes the reports of another box. */
    readonly onReports: (reports: readonly ColdReport[]) => void;
}

/** Maximum number of boxes that are told: far more than those that usually send to one server. */
const maxRecipients = 64;
/** Longest time in milliseconds for which a server is taken for cold by one report; the next check extends it. */
const maxColdTime = 60_000;

/** Creates the sharing of one box. */
export function createColdServerSharing(options: ColdServerSharingOptions): ColdServerSharing {
    const { catalog, clock } = options;

    return {
        onChecked(server, coldFor) {
            const isNews = !server.state.isCold(clock());
            server.state.onCold(clock(), coldFor, "healthCheck");
            if (isNews) {
                const report = encodeColdReport(server.state.record(), coldFor);
                recipientsOf(server).forEach(box => options.send(box, [report]));
            }
        },
        onReports(reports) {
            for (const report of reports) {
                const server = catalog.get(backendServerId(report[0]));
                if (server !== undefined && isOfIncarnation(report, server.state.record())) {
                    server.state.onCold(clock(), milliseconds(Math.min(report[2], maxColdTime)), "peer");
                }
            }
        },
    };

    /** Returns the boxes of the server's region first, as most of its requests come from these. */
    function recipientsOf({ state }: BackendServer): readonly MemberRecord[] {
        const { region } = state.record();
        const boxes = options.recentMembers();
        return [
            ...boxes.filter(box => box.region === region),
            ...boxes.filter(box => box.region !== region),
        ].slice(0, maxRecipients);
    }
}
