/**
 * Speed of one backend server: the ratio of its answer times to the expected ones. A
 * measured slowness decays, so that a server that gets no requests is tried again.
 *
 * Owns one decaying ratio; relies on the work estimate for the expected times.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Speed of one server. */
export interface ServerSpeed {
    /** An answer took `ratio` times as long as expected. */
    readonly onAnswer: (at: Milliseconds, ratio: number) => void;
    /** 1 for a server of normal speed, more for a slow one. */
    readonly slowness: (at: Milliseconds) => number;
    /** Slowness relative to `outlierSlowness`: above 1 the server may be an outlier. */
    readonly severity: (at: Milliseconds) => number;
}

/** Weight of the newest answer in the slowness. */
const smoothing = 0.25;
/** Milliseconds in which a measured slowness decays halfway to 1 without new answers. */
const halfLife = 5000;
/** Lowest ratio that one answer counts for: a single unusual answer must not clear a slow server. */
const minRatio = 0.25;
/** Highest ratio that one answer counts for: a single unusual answer must not bar a server for long. */
const maxRatio = 20;

/**
 * Slowness above which a server may be an outlier. Cold work takes 3.3 times as long as warm work, so a key that leaves
 * a server of this slowness gets faster answers from its second request on.
 */
const outlierSlowness = 3;

/** Creates the speed of a server that has not answered yet, with a slowness of 1. */
export function createServerSpeed(at: Milliseconds): ServerSpeed {
    let measured = 1;
    let measuredAt = at;

    return {
        onAnswer(now, ratio) {
            const bounded = Math.min(maxRatio, Math.max(minRatio, ratio));
            measured = slowness(now) * (1 - smoothing) + bounded * smoothing;
            measuredAt = now;
        },
        slowness,
        severity: now => slowness(now) / outlierSlowness,
    };

    function slowness(now: Milliseconds): number {
        if (measured === 1) {
            return 1;
        }
        return 1 + (measured - 1) * 0.5 ** ((now - measuredAt) / halfLife);
    }
}
