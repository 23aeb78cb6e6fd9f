/**
 * Rate limit of one incarnation of a server: the requests per second that it accepts
 * from all boxes together, for as long as its answers state it.
 *
 * Answers on several connections can overtake each other, and updates from other boxes
 * arrive late, so the update with the latest time applies and not the last to arrive. An
 * answer without a limit is dated by the sending of its request, since it was written
 * after that; one with a limit is dated by its arrival. In doubt the limit applies.
 *
 * Owns the latest update of one incarnation. Times are passed in.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Update of a server's limit, from one of its answers or from another box. */
export type LimitUpdate =
    /** `rate`: requests per second, may be 0. `at`: arrival of the answer that stated it. */
    | { readonly kind: "named"; readonly rate: number; readonly at: Milliseconds; }
    /** `at`: sending of the request whose answer stated no limit. */
    | { readonly kind: "ended"; readonly at: Milliseconds; };

/** Rate limit of one incarnation of a server. */
export interface ServerRateLimit {
    /** Requests per second from all boxes together; undefined while there is no limit. */
    readonly rate: () => number | undefined;
    /** The latest update; undefined for a server that never stated a limit. */
    readonly latestUpdate: () => LimitUpdate | undefined;
    /** Applies an update; returns true if it must be sent to other boxes at once: the limit began, ended or changed. */
    readonly onUpdate: (update: LimitUpdate) => boolean;
}

/**
 * Smallest relative change of the rate that is sent to other boxes at once; a server may state a slightly different
 * rate with each answer.
 */
const minReportedChange = 0.1;

/** Creates the limit of an incarnation that has not stated one. */
export function createServerRateLimit(): ServerRateLimit {
    let latest: LimitUpdate | undefined;

    return {
        rate: () => rateOf(latest),
        latestUpdate: () => latest,
        onUpdate(update) {
            const known = latest;
            if (known !== undefined && !isNewer(update, known)) {
                return false;
            }
            latest = update;
            return isReportable(rateOf(known), rateOf(update));
        },
    };
}

function rateOf(update: LimitUpdate | undefined): number | undefined {
    return update?.kind === "named" ? update.rate : undefined;
}

function isNewer(update: LimitUpdate, known: LimitUpdate): boolean {
    return update.kind === "named" ? update.at >= known.at : update.at > known.at;
}

function isReportable(before: number | undefined, after: number | undefined): boolean {
    if (before === undefined || after === undefined) {
        return before !== after;
    }
    return Math.abs(after - before) > before * minReportedChange;
}
