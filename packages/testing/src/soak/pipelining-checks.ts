/**
 * What the soak checks of pipelined requests. That answers come in order and
 * belong to their requests is part of the check of whole answers, since the
 * caller hands them out by order.
 */

import type { Breach, Observations, ObservedAttempt } from "./observations.js";

/** Milliseconds after the signal until which a box that stops as planned must not cut a request: 0.9 of its grace of 2 s. */
const keepsWithin = 1800;

/** Returns the breaches of what holds for pipelined requests. */
export function pipeliningBreaches(seen: Observations): Breach[] {
    return [...unreadButRun(seen), ...lostToPlannedStop(seen), ...unasked(seen)];
}

/** A request behind an answer that ended the connection must have reached no server. */
function unreadButRun(seen: Observations): Breach[] {
    return ranUnanswered(seen, "unread").map(({ at, box, requestId }) => ({
        promise: "unread",
        at,
        detail: `${requestId} ran, and an answer before it ended the connection to ${box}`,
    }));
}

function lostToPlannedStop(seen: Observations): Breach[] {
    const lost = ranUnanswered(seen, "lost").filter(attempt => isInPlannedStop(attempt, seen));
    return lost.map(({ at, box, requestId }) => ({
        promise: "planned stop",
        at,
        detail: `${requestId} ran, and ${box} ended its connection while it stopped as planned`,
    }));
}

function unasked({ unsolicitedBytes: surplus }: Observations): Breach[] {
    return surplus.map(({ at, box, bytes }) => ({
        promise: "whole answers",
        at,
        detail: `${box} sent ${JSON.stringify(bytes.slice(0, 80))} unasked`,
    }));
}

function ranUnanswered({ attempts, runs }: Observations, kind: "unread" | "lost"): readonly ObservedAttempt[] {
    const ran = new Set(runs.map(run => run.requestId));
    return attempts.filter(({ requestId, unanswered }) => unanswered?.kind === kind && ran.has(requestId));
}

/** True if the box had been told to stop a short while ago, and was not killed since. */
function isInPlannedStop({ box, unanswered }: ObservedAttempt, { boxTerminations: boxEnds }: Observations): boolean {
    const endedAt = unanswered?.at ?? 0;
    const latest = boxEnds.filter(end => end.box === box && end.at <= endedAt && end.at > endedAt - keepsWithin);
    return latest.length > 0 && latest.every(end => end.signal === "SIGTERM");
}
