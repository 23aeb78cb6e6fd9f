/**
 * Which requests of a box try a version: a token bucket paces them, and rare
 * routes may take ahead of it, so that each route gets its sample.
 *
 * Owns the tokens and what each route asked for and got.
 */

/** Sampling of one box. */
export interface RouteSampling {
    /** A request of the route came while this share of all is to be sampled: a token grows by the share. */
    readonly onRequest: (routeName: string, share: number) => void;
    /**
     * True if the request is one of the sample; it is counted as such.
     *
     * @param left what the box may still send; 1 at least.
     * @param reserve part of it that is kept for rare routes.
     */
    readonly take: (routeName: string, share: number, left: number, reserve: number) => boolean;
}

/** Tokens that are saved up at most: a box whose callers come in bursts samples no burst. */
const mostTokens = 2;
/** Tokens that a rare route may take ahead. */
const mostAhead = 3;
/** Part of a rare route's requests that are sampled at most while the version is watched: the others are what it is compared with. */
const greatestPart = 0.5;
/** Share from which all requests are to go, and no pace is kept. */
const wholeShare = 1;
/** A route with less than this part of the requests of the most frequent one is rare. */
const rarePart = 0.75;

interface RouteCounts {
    requests: number;
    sampled: number;
}

/** Creates the sampling; no route is known. */
export function createRouteSampling(): RouteSampling {
    const routes = new Map<string, RouteCounts>();
    let tokens = 0;
    let mostRequests = 0;
    let mostSampled = 0;

    return {
        onRequest(routeName, share) {
            const counts = countsOf(routeName);
            counts.requests += 1;
            mostRequests = Math.max(mostRequests, counts.requests);
            tokens = Math.min(mostTokens, tokens + share);
        },
        take(routeName, share, left, reserve) {
            const counts = countsOf(routeName);
            if (share < wholeShare && !isDue(counts, left, reserve)) {
                return false;
            }
            tokens = Math.max(-mostAhead, tokens - 1);
            counts.sampled += 1;
            mostSampled = Math.max(mostSampled, counts.sampled);
            return true;
        },
    };

    /** A rare route takes ahead of the pace until it has as many samples as the others. */
    function isDue({ requests, sampled }: RouteCounts, left: number, reserve: number): boolean {
        const isRare = requests < mostRequests * rarePart;
        if (!isRare || sampled >= Math.max(1, mostSampled)) {
            return tokens >= 1 && left > reserve;
        }
        return tokens > -mostAhead && sampled < Math.max(1, requests * greatestPart);
    }

    function countsOf(routeName: string): RouteCounts {
        const known = routes.get(routeName) ?? { requests: 0, sampled: 0 };
        routes.set(routeName, known);
        return known;
    }
}
