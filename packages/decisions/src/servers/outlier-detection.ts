/**
 * Outlier detection: finds servers that fail part of their requests, whatever
 * their health checks say.
 *
 * Owns a share that fades; the choice of a server decides how many outliers may
 * be left out.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Share of failures among a server's latest results. */
export interface OutlierDetection {
    /** A request got a good answer, or failed at the server in a way that is not for its load. */
    readonly onResult: (at: Milliseconds, isGood: boolean) => void;
    /** The share of failures against the one from which a server is an outlier: above 1 it is one. */
    readonly severity: (at: Milliseconds) => number;
}

/**
 * Weight of the newest result, milliseconds after which half of the share is forgotten, and share from which a server is an
 * outlier. One failure among good answers is none: it gives 0.25. Set on an incident whose servers
 * fail half of their requests.
 */
const smoothing = 0.25;
/** Milliseconds after which half of the share is forgotten; set with the smoothing. */
const halfLife = 4000;
/** Share of failures, from 0 to 1, above which a server is an outlier; set with the smoothing. */
const outlierShare = 0.3;

/** Creates the detection for a server without results. */
export function createOutlierDetection(at: Milliseconds): OutlierDetection {
    let share = 0;
    let shareAt = at;

    return {
        onResult(now, isGood) {
            share = currentShare(now) * (1 - smoothing) + (isGood ? 0 : smoothing);
            shareAt = now;
        },
        severity: now => currentShare(now) / outlierShare,
    };

    function currentShare(now: Milliseconds): number {
        if (share === 0) {
            return 0;
        }
        return share * 0.5 ** ((now - shareAt) / halfLife);
    }
}
