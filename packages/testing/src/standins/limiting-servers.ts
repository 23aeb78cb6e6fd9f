/**
 * Stand-in servers that name the rate which they take, and what came to them
 * meanwhile.
 *
 * Owns the arrivals at each server; relies on the deployment for the servers.
 */

import type { TestDeployment } from "./deployment.js";

/** One server and its limit. Times in milliseconds of the steady clock. */
interface LimitingServer {
    readonly id: string;
    /** Names a rate in all answers from now on; undefined for none. */
    readonly setLimit: (rate: number | undefined) => void;
    /** When the server began to name a limit; undefined until then. */
    readonly limitedSince: () => number | undefined;
    /** When requests came, in order. */
    readonly arrivedAt: readonly number[];
}

export interface LimitingServersOptions {
    readonly count: number;
    readonly zones: readonly string[];
    /** Requests that each works on at once. */
    readonly slots?: number;
    /** Work of a request at a server that does not know its key, in milliseconds. */
    readonly work: number;
}

/** Milliseconds of the span in which arrivals are counted. */
const countedSpan = 4000;
/** Milliseconds after the first answer that names a limit from which it is kept by all boxes: the shorter one of the two that users set. */
const contact = 3000;
/** Milliseconds after it from which requests count. */
const toldAfter = 500;
/** Times the limit that a server may get in the span, and requests beside that. */
const toleratedPart = 1.5;
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

/** The most that a server may get in the counted span by its limit. */
export function maxAllowedArrivals(rate: number): number {
    return toleratedPart * rate * countedSpan / 1000 + toleratedRequests;
}

/** The most requests that came to a server in any counted span which ends later than `contact` after it named a limit. */
export function maxArrivalsInSpan({ arrivedAt, limitedSince: namedSince }: LimitingServer): number {
    const since = namedSince() ?? Infinity;
    const counted = arrivedAt.filter(at => at >= since + toldAfter);
    return Math.max(
        0,
        ...counted
            .filter(end => end >= since + contact)
            .map(end => counted.filter(at => at > end - countedSpan && at <= end).length),
    );
}
