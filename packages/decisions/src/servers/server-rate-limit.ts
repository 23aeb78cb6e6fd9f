/**
 * The rate that one life of a server names: the requests a second that it takes
 * from all boxes together, for as long as its answers name it.
 *
 * Answers of several connections cross, and words of other boxes come late, so the
 * newest word holds and not the last to come. An answer that names no limit counts
 * from when its request was sent: it was written after that. One that names a limit
 * counts from when it came. In doubt the limit holds.
 *
 * Owns the newest word of one life. Times are passed in.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** What a server, or a box that heard it, says of its limit. */
export type LimitUpdate =
    /** `rate`: requests a second, zero included. `at`: when the answer came that named it. */
    | { readonly kind: "named"; readonly rate: number; readonly at: Milliseconds; }
    /** `at`: when the request was sent whose answer named none. */
    | { readonly kind: "ended"; readonly at: Milliseconds; };

/** The limit of one life of a server. */
export interface ServerRateLimit {
    /** Requests a second, from all boxes together; undefined while no limit holds. */
    readonly rate: () => number | undefined;
    /** The newest word; undefined for a server that never named a limit. */
    readonly latestUpdate: () => LimitUpdate | undefined;
    /** Takes a word; true if others have to know of it: the limit began, ended, or is another one. */
    readonly onUpdate: (word: LimitUpdate) => boolean;
}

/** Part by which a rate must differ to be told at once: a server may name its rate anew with each answer. */
const toldDifference = 0.1;

/** Creates the limit of a life that has named none. */
export function createServerRateLimit(): ServerRateLimit {
    let newest: LimitUpdate | undefined;

    return {
        rate: () => rateOf(newest),
        latestUpdate: () => newest,
        onUpdate(word) {
            const known = newest;
            if (known !== undefined && !isNewer(word, known)) {
                return false;
            }
            newest = word;
            return isOtherLimit(rateOf(known), rateOf(word));
        },
    };
}

function rateOf(word: LimitUpdate | undefined): number | undefined {
    return word?.kind === "named" ? word.rate : undefined;
}

function isNewer(word: LimitUpdate, known: LimitUpdate): boolean {
    return word.kind === "named" ? word.at >= known.at : word.at > known.at;
}

function isOtherLimit(before: number | undefined, after: number | undefined): boolean {
    if (before === undefined || after === undefined) {
        return before !== after;
    }
    return Math.abs(after - before) > before * toldDifference;
}
