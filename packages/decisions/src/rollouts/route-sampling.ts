/**
 * Selects the requests of a box that try the trial version. A token bucket paces them;
 * rare routes may borrow tokens, so that every route is sampled.
 *
 * Owns the tokens, and the counts of each route's requests and samples.
 */

/** The sampling of requests at one box. */
export interface RouteSampling {
    /** Counts a request of the route and adds `share` tokens, the share of all requests that is to be sampled. */
    readonly onRequest: (routeName: string, share: number) => void;
    /**
     * Returns true, and counts the request as sampled, if it is to try the trial version.
     *
     * @param remaining number of requests that the box may still send to the trial version; at least 1.
     * @param reserve how many of these are kept for rare routes.
     */
    readonly take: (routeName: string, share: number, remaining: number, reserve: number) => boolean;
}

/** Maximum number of saved tokens, so that a burst of callers does not become a burst of samples. */
const maxTokens = 2;
/** Maximum token debt that rare routes may run up. */
const maxBorrowedTokens = 3;
/**
 * Maximum sampled fraction of a rare route's requests while the version is watched; the others are needed for
 * the control side.
 */
const maxRareFraction = 0.5;
/** Share from which every request goes to the trial version, without pacing. */
const fullShare = 1;
/** A route is rare if it has less than this fraction of the requests of the most frequent route. */
const rareRouteFraction = 0.75;

interface RouteCounts {
    requests: number;
    sampled: number;
}

/** Creates the sampling without any known route. */
export function createRouteSampling(): RouteSampling {
    const routes = new Map<string, RouteCounts>();
    let tokens = 0;
    let maxRequests = 0;
    let maxSampled = 0;

    return {
        onRequest(routeName, share) {
            const counts = countsOf(routeName);
            counts.requests += 1;
            maxRequests = Math.max(maxRequests, counts.requests);
            tokens = Math.min(maxTokens, tokens + share);
        },
        take(routeName, share, remaining, reserve) {
            const counts = countsOf(routeName);
            if (share < fullShare && !isDue(counts, remaining, reserve)) {
                return false;
            }
            tokens = Math.max(-maxBorrowedTokens, tokens - 1);
            counts.sampled += 1;
            maxSampled = Math.max(maxSampled, counts.sampled);
            return true;
        },
    };

    /** A rare route may borrow tokens until it has as many samples as the most sampled route. */
    function isDue({ requests, sampled }: RouteCounts, remaining: number, reserve: number): boolean {
        const isRare = requests < maxRequests * rareRouteFraction;
        if (!isRare || sampled >= Math.max(1, maxSampled)) {
            return tokens >= 1 && remaining > reserve;
        }
        return tokens > -maxBorrowedTokens && sampled < Math.max(1, requests * maxRareFraction);
    }

    function countsOf(routeName: string): RouteCounts {
        const known = routes.get(routeName) ?? { requests: 0, sampled: 0 };
        routes.set(routeName, known);
        return known;
    }
}
