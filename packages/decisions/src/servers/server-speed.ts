/**
 * Speed of one backend server: how many times as long as expected its answers
 * take. A measured slowness fades, so that a server which gets nothing is tried again.
 *
 * Owns one ratio that fades; relies on the estimate of work for what is expected.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Speed of one server. */
export interface ServerSpeed {
    /** An answer took `ratio` times as long as expected. */
    readonly onAnswer: (at: Milliseconds, ratio: number) => void;
    /** 1 for a server of ordinary speed, more for a slow one. */
    readonly slowness: (at: Milliseconds) => number;
    /** The slowness against the one from which a server is an outlier: above 1 it is one. */
    readonly severity: (at: Milliseconds) => number;
}

/** Weight of the newest answer. */
const smoothing = 0.25;
/** Milliseconds after which half of a measured slowness is forgotten. */
const halfLife = 5000;
/** Bounds of one answer's weight: a single stray answer neither frees nor bars a server. */
const leastRatio = 0.25;
/** Times the expected time that one answer counts for at most. */
const greatestRatio = 20;

/**
 * Slowness from which a server is an outlier. Cold work was seen to take 3.3 times as long as warm work, so a key that leaves
 * a server three times as slow is answered sooner from its second request on.
 */
const outlierSlowness = 3;

/** Creates the speed of a server that has not answered yet. */
export function createServerSpeed(at: Milliseconds): ServerSpeed {
    let measured = 1;
    let measuredAt = at;

    return {
        onAnswer(now, ratio) {
            const bounded = Math.min(greatestRatio, Math.max(leastRatio, ratio));
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
