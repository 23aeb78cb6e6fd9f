/**
 * Which servers of a service are left out since they do badly against the others.
 *
 * Owns no state; relies on how badly each server does (see `ServerState.severity`).
 */

import type { BackendServer } from "../servers/server-catalog.js";

/**
 * Part of the servers that may take work which is left out as outliers at most, the worst first, so that no service is emptied
 * when most of it fails.
 */
const mostPartOutliers = 0.5;
/** Times the median of the service that an outlier's severity is at least: what all servers do alike moves no key. */
const outlierAgainstMedian = 2;
/** Severity up to which a server is no outlier, whatever the others do. */
const leastSeverity = 1;

/** True if a server may be an outlier; whether it is one depends on the others. */
export function mayBeOutlier(severity: number): boolean {
    return severity > leastSeverity;
}

/** Returns the outliers among servers that may take work. */
export function findOutliers(
    eligible: readonly BackendServer[],
    severityOf: (server: BackendServer) => number,
): ReadonlySet<BackendServer> {
    const worstFirst = eligible
        .map(server => ({ server, severity: severityOf(server) }))
        .sort((a, b) => b.severity - a.severity);
    if (worstFirst.length === 0) {
        return new Set();
    }
    const median = worstFirst[Math.floor(worstFirst.length / 2)].severity;
    const threshold = Math.max(leastSeverity, median * outlierAgainstMedian);
    return new Set(
        worstFirst
            .slice(0, Math.floor(eligible.length * mostPartOutliers))
            .filter(({ severity }) => severity > threshold)
            .map(({ server }) => server),
    );
}
