/**
 * Reports about outlier servers as boxes send them: those from this box's own results and those of other boxes, with an
 * age instead of a time, since the boxes' clocks differ.
 *
 * Owns nothing; relies on the catalog for this box's results and on the outlier reports for those of other boxes.
 */

import type { BackendServer, OutlierReport, OutlierReports, ServerCatalog } from "@chalkdale/decisions";
import { backendServerId, type BoxId, boxId, type Clock, milliseconds } from "@chalkdale/kernel";

/**
 * One report in a datagram, kept short as there may be many. `origin` is the box that observed it; `age` is in
 * milliseconds.
 */
export type OutlierReportMessage = readonly [server: string, origin: string, severity: number, age: number];

/** Sends and receives the outlier reports of one box. */
export interface OutlierGossip {
    /** The reports to send now, highest severity first; empty while no server is an outlier. */
    readonly current: () => readonly OutlierReportMessage[];
    /** Takes the reports of another box of the region. */
    readonly onReports: (reports: readonly OutlierReportMessage[]) => void;
}

/**
 * Maximum number of reports in one datagram, about 60 bytes each. However many servers fail, reports and heartbeats
 * together stay far below the 8 KB limit; a larger datagram is rejected, and its heartbeats are lost too.
 */
const maxReports = 30;

/** What the gossip of outlier reports depends on. */
export interface OutlierGossipOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly catalog: ServerCatalog;
    /** Reports of the other boxes. */
    readonly outlierReports: OutlierReports;
    /** False for a server whose results tell more about the path to it than about itself. */
    readonly isReachedDirectly: (server: BackendServer) => boolean;
}

/** Creates the gossip of one box's outlier reports. */
export function createOutlierGossip(options: OutlierGossipOptions): OutlierGossip {
    const { catalog, clock, outlierReports: otherReports, self } = options;

    return {
        current() {
            const now = clock();
            return [...ownReports(), ...otherReports.reports(now)]
                .sort((a, b) => b.severity - a.severity)
                .slice(0, maxReports)
                .map((
                    { at, origin, server, severity },
                ) => [server, origin, roundSeverity(severity), Math.round(now - at)]);
        },
        onReports(reports) {
            const now = clock();
            for (const [server, origin, severity, age] of reports) {
                const at = milliseconds(now - Math.max(0, age));
                otherReports.onReport({ server: backendServerId(server), origin: boxId(origin), severity, at }, now);
            }
        },
    };

    function ownReports(): readonly OutlierReport[] {
        const at = clock();
        return [...catalog.all()]
            .filter(options.isReachedDirectly)
            .map(({ id, state }) => ({ server: id, origin: self, severity: state.severity(at), at }))
            .filter(({ severity }) => severity > 1);
    }
}

/** Returns true for a valid report. */
export function isOutlierReportMessage(value: unknown): value is OutlierReportMessage {
    return Array.isArray(value) && typeof value[0] === "string" && typeof value[1] === "string"
        && Number.isFinite(value[2]) && Number.isFinite(value[3]);
}

/** Two decimal places are precise enough, and keep the datagram short. */
function roundSeverity(severity: number): number {
    return Math.round(severity * 100) / 100;
}
