/**
 * Checks that boxes keep the rate limits which servers announce, as the users require: from a
 * while after the first announcement, a server gets in any window at most one and a half times
 * its limit plus a few requests. Only requests of boxes count that got an answer of the
 * server at least half a second before.
 *
 * Boxes that had a fault themselves are excused.
 */

import type { Breach, Observations, ObservedLimit, ObservedRun } from "./observations.js";

/** Milliseconds after a server first announced a limit from which the limit must be kept. */
const keptAfter = 3000;
/**
 * Milliseconds after a box's first request under the limit from which its requests count: by then it has had an
 * answer that announced it.
 */
const countedAfter = 500;
/** Window in milliseconds. */
const window = 4000;
/** Tolerance in a window: multiple of the limit, and further requests. */
const allowedMultiple = 1.5;
const allowedExtraRequests = 5;

/** Returns the breaches of announced limits. */
export function limitBreaches(seen: Observations): Breach[] {
    return (seen.limits ?? []).flatMap(limit => breachesOf(limit, seen));
}

/** Counts the limits that the check could test: boxes still sent requests once the limit had to be kept. */
export function countCheckedLimits(seen: Observations): number {
    return (seen.limits ?? []).filter(limit => countedRuns(limit, seen).some(({ at }) => at >= limit.from + keptAfter))
        .length;
}

function breachesOf(limit: ObservedLimit, seen: Observations): Breach[] {
    const allowed = allowedMultiple * limit.rate * window / 1000 + allowedExtraRequests;
    const counted = countedRuns(limit, seen);
    const windows = counted
        .filter(({ at }) => at >= limit.from + keptAfter)
        .map(({ at }) => ({ at, count: counted.filter(run => run.at > at - window && run.at <= at).length }));
    const worst = windows.sort((a, b) => b.count - a.count).at(0);
    if (worst === undefined || worst.count <= allowed) {
        return [];
    }
    const detail = `${limit.server} got ${worst.count} requests in ${window} ms, ${allowed.toFixed(1)} allowed, ${
        Math.round(worst.at - limit.from)
    } ms after it announced ${limit.rate} per second`;
    return [{ promise: "limit", at: worst.at, detail }];
}

/** Requests of boxes that had sent one under the limit at least `countedAfter` before and had no fault themselves. */
function countedRuns(
    { from, server, to }: ObservedLimit,
    { runs, hadBoxFault }: Observations,
): readonly ObservedRun[] {
    const during = runs.filter(run => run.server === server && run.at >= from && run.at <= to);
    const firstByBox = new Map<string | undefined, number>();
    during.forEach(({ at, boxAddress }) =>
        firstByBox.set(boxAddress, Math.min(at, firstByBox.get(boxAddress) ?? Infinity))
    );
    return during.filter(({ at, boxAddress }) =>
        at >= firstByBox.get(boxAddress)! + countedAfter && boxAddress !== undefined
        && hadBoxFault?.(boxAddress, at) !== true
    );
}
