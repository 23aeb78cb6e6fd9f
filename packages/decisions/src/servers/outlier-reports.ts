/**
 * What the boxes of a region tell each other about servers that do badly.
 *
 * A box has few answers of its own from each server, so a slow or failing one
 * would be found anew by every box. Each box says which servers are outliers
 * by its own answers; a server counts as one where two boxes agree, so that one
 * box with a bad path ejects nothing for the others. Reports fade within
 * seconds, and what a box only heard never counts as its own.
 *
 * Owns the latest reports of other boxes; relies on gossip to carry them on.
 */

import type { BackendServerId, BoxId, Milliseconds } from "@chalkdale/kernel";

/** One box's view of one server. */
export interface OutlierReport {
    readonly server: BackendServerId;
    /** The box whose own answers show it. */
    readonly origin: BoxId;
    /** See `ServerState.severity`. */
    readonly severity: number;
    /** When it was so, by the clock of the box that holds the report. */
    readonly at: Milliseconds;
}

/** Reports of the other boxes. */
export interface OutlierReports {
    readonly onReport: (report: OutlierReport, now: Milliseconds) => void;
    /** How badly the server does by the lower one of two boxes' views; 0 unless two agree. `own` is this box's view. */
    readonly severity: (server: BackendServerId, own: number, now: Milliseconds) => number;
    /** The server has started again: what was so before says nothing of its new life. */
    readonly forget: (server: BackendServerId, now: Milliseconds) => void;
    /** Reports that are fresh enough to be passed on. */
    readonly reports: (now: Milliseconds) => readonly OutlierReport[];
}

/** Milliseconds for which a report counts: eight rounds of gossip, in which it reaches all boxes of a region of 80. */
const reportLifetime = 2400;
/** Boxes whose reports are kept for one server: as many as must agree. */
const originsKept = 2;

/** Creates the evidence of a box that has heard nothing. */
export function createOutlierReports(self: BoxId): OutlierReports {
    const byServer = new Map<BackendServerId, readonly OutlierReport[]>();
    /** When this box learned of a server's new life, for as long as older reports may still come. */
    const restartedAt = new Map<BackendServerId, Milliseconds>();

    return {
        onReport(report, now) {
            const isOfEarlierLife = report.at <= (restartedAt.get(report.server) ?? -Infinity);
            if (report.origin === self || isOfEarlierLife || !isFresh(report, now)) {
                return;
            }
            const others = freshReports(report.server, now).filter(({ origin }) => origin !== report.origin);
            const known = freshReports(report.server, now).find(({ origin }) => origin === report.origin);
            const newest = known !== undefined && known.at > report.at ? known : report;
            const kept = [newest, ...others].sort((a, b) => b.at - a.at).slice(0, originsKept);
            byServer.set(report.server, kept);
        },
        severity(server, own, now) {
            const heard = freshReports(server, now).map(report => report.severity);
            const [, second = 0] = [own, ...heard].sort((a, b) => b - a);
            return second;
        },
        forget(server, now) {
            const isOver = (at: Milliseconds) => now - at >= reportLifetime;
            [...restartedAt].filter(([, at]) => isOver(at)).forEach(([earlier]) => restartedAt.delete(earlier));
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
