/**
 * Outlier detection: finds servers that fail some of their requests even though
 * their health checks succeed.
 *
 * Owns a decaying failure rate; the choice of a server decides how many outliers may
 * be left out.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Failure rate of one server's latest results. */
export interface OutlierDetection {
    /** A request got a good answer, or failed at the server for a reason other than its load. */
    readonly onResult: (at: Milliseconds, isGood: boolean) => void;
    /** Failure rate relative to `outlierFailureRate`: above 1 the server may be an outlier. */
    readonly severity: (at: Milliseconds) => number;
}

/**
 * Weight of the newest result. A single failure among good answers gives a rate of 0.25, below `outlierFailureRate`.
 * This weight, the half-life and the threshold are set to detect servers that fail half of their requests.
 */
const smoothing = 0.25;
/** Milliseconds in which the failure rate decays to half without new results. */
const halfLife = 4000;
/** Failure rate, from 0 to 1, above which a server may be an outlier. */
const outlierFailureRate = 0.3;

/** Creates the detection for a server without results. */
export function createOutlierDetection(at: Milliseconds): OutlierDetection {
    let failureRate = 0;
    let updatedAt = at;

    return {
        onResult(now, isGood) {
            failureRate = currentFailureRate(now) * (1 - smoothing) + (isGood ? 0 : smoothing);
            updatedAt = now;
        },
        severity: now => currentFailureRate(now) / outlierFailureRate,
    };

    function currentFailureRate(now: Milliseconds): number {
        if (failureRate === 0) {
            return 0;
        }
        return failureRate * 0.5 ** ((now - updatedAt) / halfLife);
    }
}
