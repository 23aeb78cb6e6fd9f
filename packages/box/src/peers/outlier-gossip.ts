/**
 * Reports about servers as boxes send them: what the own answers show, and what
 * others said, with the age in place of a time since clocks differ.
 *
 * Owns nothing; relies on the catalog for the own view and on the shared
 * evidence for the others'.
 */

import type { OutlierReport, OutlierReports, ServerCatalog } from "@chalkdale/decisions";
import { backendServerId, type BoxId, boxId, type Clock, milliseconds } from "@chalkdale/kernel";

/** One report in a datagram, short since there may be many: server, box that saw it, severity, age in milliseconds. */
export type OutlierReportMessage = readonly [server: string, origin: string, severity: number, age: number];

/** Reports of one box. */
export interface OutlierGossip {
    /** What this box says of servers now, the worst first; empty while none does badly. */
    readonly current: () => readonly OutlierReportMessage[];
    /** Takes what another box of the region said. */
    readonly onReports: (reports: readonly OutlierReportMessage[]) => void;
}

/**
 * Reports in one datagram at most: some 60 bytes each, so that with the heartbeats they stay far below its 8 KB however many
 * servers fail; a datagram that is too large would lose the heartbeats too.
 */
const mostReports = 30;

export interface OutlierGossipOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly catalog: ServerCatalog;
    readonly evidence: OutlierReports;
}

/** Creates the reports of one box. */
export function createOutlierGossip(options: OutlierGossipOptions): OutlierGossip {
    const { catalog, clock, evidence, self } = options;

    return {
        current() {
            const now = clock();
            return [...ownReports(), ...evidence.reports(now)]
                .sort((a, b) => b.severity - a.severity)
                .slice(0, mostReports)
                .map(({ at, origin, server, severity }) => [server, origin, round(severity), Math.round(now - at)]);
        },
        onReports(reports) {
            const now = clock();
            for (const [server, origin, severity, age] of reports) {
                const at = milliseconds(now - Math.max(0, age));
                evidence.onReport({ server: backendServerId(server), origin: boxId(origin), severity, at }, now);
            }
        },
    };

    function ownReports(): readonly OutlierReport[] {
        const at = clock();
        return [...catalog.all()]
            .map(({ id, state }) => ({ server: id, origin: self, severity: state.severity(at), at }))
            .filter(({ severity }) => severity > 1);
    }
}

/** True for a report as boxes send it. */
export function isOutlierReportMessage(value: unknown): value is OutlierReportMessage {
    return Array.isArray(value) && typeof value[0] === "string" && typeof value[1] === "string"
        && Number.isFinite(value[2]) && Number.isFinite(value[3]);
}

/** Two digits after the point are enough, and short. */
function round(severity: number): number {
    return Math.round(severity * 100) / 100;
}
