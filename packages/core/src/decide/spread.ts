/**
 * Spreads requests over places by their shares with bounded error.
 *
 * Each request adds every place's share to its credit; the place with the
 * most credit gets the request and pays one. The count of each place stays
 * within one request per place of the integral of its share, so that a cap on
 * the share is a cap on the traffic (smooth weighted round robin with weights
 * that change over time).
 */

/** Picks the index of a place. */
export interface Spread {
    /** Returns the place for the next request; shares sum to 1. */
    readonly next: (shares: Float64Array) => number;
}

/** Creates a spread over a number of places. */
export function createSpread(placeCount: number): Spread {
    const credits = new Float64Array(placeCount);
    return {
        next(shares) {
            let chosen = -1;
            let most = -Infinity;
            for (let place = 0; place < placeCount; place++) {
                const share = shares[place];
                const credit = credits[place] + share;
                credits[place] = credit;
                if (share > 0 && credit > most) {
                    most = credit;
                    chosen = place;
                }
            }
            if (chosen < 0) {
                return 0;
            }
            credits[chosen] -= 1;
            return chosen;
        },
    };
}
