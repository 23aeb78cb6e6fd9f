/**
 * Checks that a cold server gets from all boxes together, in any second, no more than one and a half times its rate plus
 * a few requests, whatever the boxes know of it and of each other.
 */

import type { Breach, Observations, ObservedColdPeriod } from "./observations.js";

/** Requests a second that a cold server bears, as the configuration of a run states it. */
const coldRate = 14;
/** Tolerance in a window: multiple of the rate, and further requests. */
const allowedMultiple = 1.5;
const allowedExtraRequests = 5;
/** Milliseconds. */
const window = 1000;

/** Returns a breach for each cold period with too many requests in a window. */
export function coldBreaches(seen: Observations): Breach[] {
    return (seen.coldPeriods ?? []).flatMap(period => breachesOf(period, seen));
}

/** Largest number of requests of a cold server in a window, as a fraction of what it tolerates. */
export function usedColdShare(seen: Observations): number {
    const tolerated = allowedMultiple * coldRate + allowedExtraRequests;
    const counts = (seen.coldPeriods ?? []).flatMap(period => windowsOf(period, seen).map(({ count }) => count));
    return Math.max(0, ...counts) / tolerated;
}

function breachesOf(period: ObservedColdPeriod, seen: Observations): Breach[] {
    const worst = windowsOf(period, seen).sort((a, b) => b.count - a.count).at(0);
    if (worst === undefined) {
        return [];
    }
    // Arrivals that waited for the soak's own process are recorded closer together than they came.
    const ownDelay = seen.ownDelayWithin?.(worst.at - window, worst.at) ?? 0;
    const allowed = allowedMultiple * coldRate * (window + ownDelay) / 1000 + allowedExtraRequests;
    if (worst.count <= allowed) {
        return [];
    }
    const after = Math.round(worst.at - period.from);
    const detail = `${period.server} got ${worst.count} requests in ${window} ms, ${
        allowed.toFixed(1)
    } allowed, until ${after} ms after it turned cold; ${describeSenders(period.server, worst.at, seen)}`;
    return [{ promise: "cold", at: worst.at, detail }];
}

/** Windows that end with an arrival. Requests that the server's link had held back are not counted. */
function windowsOf(
    { from, server, to }: ObservedColdPeriod,
    { arrivals = [] }: Observations,
): { readonly at: number; readonly count: number; }[] {
    const times = arrivals
        .filter(({ at, server: arrivedAt, wasHeldBack }) =>
            arrivedAt === server && at >= from && at < to && wasHeldBack?.(at - window) !== true
        )
        .map(({ at }) => at);
    return times.map(at => ({ at, count: times.filter(time => time > at - window && time <= at).length }));
}

/** Describes how many requests of each box ran in the window. */
function describeSenders(server: string, end: number, { runs }: Observations): string {
    const counts = new Map<string, number>();
    runs.filter(run => run.server === server && run.at > end - window && run.at <= end).forEach((
        { boxAddress = "?" },
    ) => counts.set(boxAddress, (counts.get(boxAddress) ?? 0) + 1));
    return [...counts].map(([box, count]) => `${box}:${count}`).join(",");
}
