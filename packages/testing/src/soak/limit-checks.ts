/**
 * What servers that name a limit get, by the users' words: from a while after a server first
 * named it, in any span no more than one and a half times what it allows and some
 * requests, from boxes that had passed on such an answer half a second before.
 *
 * A box that a fault has struck itself is excused.
 */

import type { Breach, Observations, ObservedLimit, ObservedRun } from "./observations.js";

/** Milliseconds after a server first named a limit from which it must be kept. */
const contact = 3000;
/** Milliseconds after its first answer that named the limit from which a box's requests count. */
const toldAfter = 500;
/** Milliseconds of the span. */
const span = 4000;
/** Times the limit that is borne in a span, and requests besides. */
const bornePart = 1.5;
const borneRequests = 5;

/** Returns the breaches of limits. */
export function limitBreaches(seen: Observations): Breach[] {
    return (seen.limits ?? []).flatMap(limit => breachOf(limit, seen));
}

/** Limits under which boxes went on sending for long enough that there was something to see. */
export function countCheckedLimits(seen: Observations): number {
    return (seen.limits ?? []).filter(limit => countedRuns(limit, seen).some(({ at }) => at >= limit.from + contact))
        .length;
}

function breachOf(limit: ObservedLimit, seen: Observations): Breach[] {
    const borne = bornePart * limit.rate * span / 1000 + borneRequests;
    const counted = countedRuns(limit, seen);
    const spans = counted
        .filter(({ at }) => at >= limit.from + contact)
        .map(({ at }) => ({ at, count: counted.filter(run => run.at > at - span && run.at <= at).length }));
    const worst = spans.sort((a, b) => b.count - a.count).at(0);
    if (worst === undefined || worst.count <= borne) {
        return [];
    }
    const detail = `${limit.server} got ${worst.count} in ${span} ms, ${borne.toFixed(1)} borne, ${
        Math.round(worst.at - limit.from)
    } ms after it named ${limit.rate} a second`;
    return [{ promise: "limit", at: worst.at, detail }];
}

/** What came from boxes that had had an answer with the limit for a while and were not struck. */
function countedRuns(
    { from, server, to }: ObservedLimit,
    { runs, hadBoxFault: wasStruck }: Observations,
): readonly ObservedRun[] {
    const during = runs.filter(run => run.server === server && run.at >= from && run.at <= to);
    const firstOf = new Map<string | undefined, number>();
    during.forEach(({ at, boxAddress: caller }) => firstOf.set(caller, Math.min(at, firstOf.get(caller) ?? Infinity)));
    return during.filter(({ at, boxAddress: caller }) =>
        at >= firstOf.get(caller)! + toldAfter && caller !== undefined && wasStruck?.(caller, at) !== true
    );
}
