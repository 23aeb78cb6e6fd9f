/**
 * Stand-in servers that report a rate limit in their answers, and the count of requests that arrive at them.
 *
 * Owns the times of arrival at each server; relies on the deployment for the servers.
 */

import type { TestDeployment } from "./deployment.js";

/** One server and its limit. Times are in milliseconds of `performance.now`. */
interface LimitingServer {
    readonly id: string;
    /** Sets the rate, in requests per second, that all later answers report; undefined for none. */
    readonly setLimit: (rate: number | undefined) => void;
    /** When the server first reported a limit; undefined before. */
    readonly limitedSince: () => number | undefined;
    /** Times at which requests arrived, in order. */
    readonly arrivedAt: readonly number[];
}

export interface LimitingServersOptions {
    readonly count: number;
    readonly zones: readonly string[];
    /** Requests that each server runs at once. */
    readonly slots?: number;
    /** Run time of a request with a cold key, in milliseconds. */
    readonly work: number;
}

/** Length in milliseconds of the span in which arrivals are counted. */
const countedSpan = 4000;
/**
 * Milliseconds after the first report of a limit from which all boxes together must keep it. The users' platform sets
 * two such times; this is the shorter one.
 */
const enforcedAfter = 3000;
/** Milliseconds after the first report of a limit from which arrivals are counted. */
const countedAfter = 500;
/** A server may receive this multiple of its limit in the span, and this many requests more. */
const toleranceFactor = 1.5;
const toleratedRequests = 5;

/** Starts the servers and records them. */
export async function startLimitingServers(
    deployment: TestDeployment,
    { count, slots, work, zones }: LimitingServersOptions,
): Promise<readonly LimitingServer[]> {
    return Promise.all(Array.from({ length: count }, (_, index) => start(`i-${index}`, zones[index % zones.length])));

    async function start(id: string, zone: string): Promise<LimitingServer> {
        const arrivedAt: number[] = [];
        let since: number | undefined;
        const server = await deployment.addServer({ id, zone, slots });
        server.setWork(work);
        server.setBehaviour(() => {
            arrivedAt.push(performance.now());
            return { kind: "serve" };
        });
        return {
            id,
            arrivedAt,
            limitedSince: () => since,
            setLimit(rate) {
                server.setLimitHeader(rate === undefined ? undefined : String(rate));
                since ??= performance.now();
            },
        };
    }
}

/** Returns how many requests may arrive at a server in the counted span, given its limit in requests per second. */
export function maxAllowedArrivals(rate: number): number {
    return toleranceFactor * rate * countedSpan / 1000 + toleratedRequests;
}

/** Returns the largest number of arrivals in any counted span that ends after the limit must be kept. */
export function maxArrivalsInSpan({ arrivedAt, limitedSince }: LimitingServer): number {
    const since = limitedSince() ?? Infinity;
    const counted = arrivedAt.filter(at => at >= since + countedAfter);
    return Math.max(
        0,
        ...counted
            .filter(end => end >= since + enforcedAfter)
            .map(end => counted.filter(at => at > end - countedSpan && at <= end).length),
    );
}
