/**
 * Reports by which the boxes of a region share their outliers.
 *
 * A box has few answers of its own from each server, so without reports every box would
 * have to detect a slow or failing server by itself. Each box reports the servers that are
 * outliers by its own answers. A server counts as one only if two boxes agree, so that one
 * box with a bad network path makes no server an outlier for the others. Reports expire
 * within seconds, and a received report never counts as the box's own view.
 *
 * Owns the latest reports of other boxes; relies on gossip to spread them.
 */

import type { BackendServerId, BoxId, Milliseconds } from "@chalkdale/kernel";

/** One box's view of one server. */
export interface OutlierReport {
    readonly server: BackendServerId;
    /** The box whose own answers the report is based on. */
    readonly origin: BoxId;
    /** See `ServerState.severity`. */
    readonly severity: number;
    /** Time of the observation, by the clock of the box that holds the report. */
    readonly at: Milliseconds;
}

/** Reports of the other boxes. */
export interface OutlierReports {
    /** Takes a report of another box; the box's own, outdated and expired ones are ignored. */
    readonly onReport: (report: OutlierReport, now: Milliseconds) => void;
    /**
     * The second highest severity among this box's view, `ownSeverity`, and the reports of others; 0 if there is no
     * second view.
     */
    readonly severity: (server: BackendServerId, ownSeverity: number, now: Milliseconds) => number;
    /** The server has restarted: earlier reports don't apply to its new incarnation. */
    readonly forget: (server: BackendServerId, now: Milliseconds) => void;
    /** Reports that have not expired, to be passed on. */
    readonly reports: (now: Milliseconds) => readonly OutlierReport[];
}

/** Milliseconds until a report expires: eight gossip rounds, in which it reaches all boxes of a region of 80. */
const reportLifetime = 2400;
/** Boxes whose reports are kept for one server: as many as must agree on an outlier. */
const maxOrigins = 2;

/** Creates the reports of box `self`, which has received none yet. */
export function createOutlierReports(self: BoxId): OutlierReports {
    const byServer = new Map<BackendServerId, readonly OutlierReport[]>();
    /** Time when this box learned of a server's new incarnation, kept while older reports may still arrive. */
    const restartedAt = new Map<BackendServerId, Milliseconds>();

    return {
        onReport(report, now) {
            const isOfEarlierIncarnation = report.at <= (restartedAt.get(report.server) ?? -Infinity);
            if (report.origin === self || isOfEarlierIncarnation || !isFresh(report, now)) {
                return;
            }
            const others = freshReports(report.server, now).filter(({ origin }) => origin !== report.origin);
            const known = freshReports(report.server, now).find(({ origin }) => origin === report.origin);
            const newest = known !== undefined && known.at > report.at ? known : report;
            const kept = [newest, ...others].sort((a, b) => b.at - a.at).slice(0, maxOrigins);
            byServer.set(report.server, kept);
        },
        severity(server, ownSeverity, now) {
            const reported = freshReports(server, now).map(report => report.severity);
            const [, second = 0] = [ownSeverity, ...reported].sort((a, b) => b - a);
            return second;
        },
        forget(server, now) {
            const isExpired = (at: Milliseconds) => now - at >= reportLifetime;
            [...restartedAt].filter(([, at]) => isExpired(at)).forEach(([restarted]) => restartedAt.delete(restarted));
            restartedAt.set(server, now);
            byServer.delete(server);
        },
        reports(now) {
            return [...byServer.keys()].flatMap(server => freshReports(server, now));
        },
    };

    function freshReports(server: BackendServerId, now: Milliseconds): readonly OutlierReport[] {
        const reports = byServer.get(server) ?? [];
        const fresh = reports.filter(report => isFresh(report, now));
        if (fresh.length === 0) {
            byServer.delete(server);
        }
        return fresh;
    }
}

function isFresh(report: OutlierReport, now: Milliseconds): boolean {
    return now - report.at < reportLifetime;
}
