/**
 * Which requests of a box try a version: a token bucket paces them, and rare
 * routes may take ahead of it, so that each route gets its sample.
 *
 * Owns the tokens and what each route asked for and got.
 */

/** Sampling of one box. */
export interface RouteSampling {
    /** A request of the route came while this share of all is to be sampled; a token grows by the share. */
    readonly onRequest: (routeName: string, share: number) => void;
    /** True if the request is one of the sample; it is counted as such. */
    readonly take: (routeName: string, share: number) => boolean;
}

/** Tokens that are saved up at most: a box whose callers come in bursts samples no burst. Not measured. */
const mostTokens = 2;
/** Tokens that a rare route may take ahead. Not measured against others. */
const mostAhead = 3;
/** Part of a route's requests that are sampled at most while the version is watched: the others are what it is compared with. */
const greatestPart = 0.5;
/** Share from which all requests are to go, and no pace is kept. */
const wholeShare = 1;

interface RouteCounts {
    requests: number;
    sampled: number;
}

/** Creates the sampling; no route is known. */
export function createRouteSampling(): RouteSampling {
    const routes = new Map<string, RouteCounts>();
    let tokens = 0;
    let mostSampled = 0;

    return {
        onRequest(routeName, share) {
            countsOf(routeName).requests += 1;
            tokens = Math.min(mostTokens, tokens + share);
        },
        take(routeName, share) {
            const counts = countsOf(routeName);
            if (share < wholeShare && !isDue(counts)) {
                return false;
            }
            tokens = Math.max(-mostAhead, tokens - 1);
            counts.sampled += 1;
            mostSampled = Math.max(mostSampled, counts.sampled);
            return true;
        },
    };

    /** The fewer samples a route has against the one with the most, the further ahead it may take. */
    function isDue(counts: RouteCounts): boolean {
        if (counts.sampled + 1 > Math.max(1, counts.requests * greatestPart)) {
            return false;
        }
        const lag = mostSampled === 0 ? 0 : 1 - counts.sampled / mostSampled;
        return tokens >= 1 - lag * (mostAhead + 1);
    }

    function countsOf(routeName: string): RouteCounts {
        const known = routes.get(routeName) ?? { requests: 0, sampled: 0 };
        routes.set(routeName, known);
        return known;
    }
}
