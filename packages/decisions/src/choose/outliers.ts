/**
 * Finds the outliers of a service: servers that do much worse than the others and are left out.
 *
 * Owns no state; relies on the severity of each server (see `ServerState.severity`).
 */

import type { BackendServer } from "../servers/server-catalog.js";

/**
 * Largest fraction of the eligible servers that may be outliers, so that a service that mostly fails keeps servers.
 */
const maxOutlierFraction = 0.5;
/** An outlier's severity exceeds this multiple of the service's median, so that a fault of all servers moves no key. */
const minMedianMultiple = 2;
/** Severity up to which a server is never an outlier, whatever the median. */
const severityThreshold = 1;

/** True if a server may be an outlier by its severity; whether it is one depends on the others. */
export function mayBeOutlier(severity: number): boolean {
    return severity > severityThreshold;
}

/** Returns the outliers among the eligible servers: the worst ones, at most `maxOutlierFraction` of all. */
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
    const threshold = Math.max(severityThreshold, median * minMedianMultiple);
    return new Set(
        worstFirst
            .slice(0, Math.floor(eligible.length * maxOutlierFraction))
            .filter(({ severity }) => severity > threshold)
            .map(({ server }) => server),
    );
}
