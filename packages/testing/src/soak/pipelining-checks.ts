/**
 * Checks of pipelined requests. That answers come in order and belong to their requests
 * is part of the check of whole answers, since the caller assigns answers to requests
 * by their order.
 */

import type { Breach, Observations, ObservedAttempt } from "./observations.js";

/**
 * Milliseconds after SIGTERM within which a stopping box must not drop a running request: 0.9 of its grace
 * period of 2 s.
 */
const keptWithin = 1800;

/** Returns the breaches of what boxes promise for pipelined requests. */
export function pipeliningBreaches(seen: Observations): Breach[] {
    return [...unreadBreaches(seen), ...plannedStopBreaches(seen), ...unsolicitedBytesBreaches(seen)];
}

/** A request that follows one whose answer ended the connection must not have reached a server. */
function unreadBreaches(seen: Observations): Breach[] {
    return ranUnanswered(seen, "unread").map(({ at, box, requestId }) => ({
        promise: "unread",
        at,
        detail: `${requestId} ran although the answer before it ended the connection to ${box}`,
    }));
}

/** A stopping box must not drop a connection on which a request runs. */
function plannedStopBreaches(seen: Observations): Breach[] {
    const lost = ranUnanswered(seen, "lost").filter(attempt => isInPlannedStop(attempt, seen));
    return lost.map(({ at, box, requestId }) => ({
        promise: "planned stop",
        at,
        detail: `${requestId} ran, but ${box} ended the connection without an answer during a planned stop`,
    }));
}

function unsolicitedBytesBreaches({ unsolicitedBytes }: Observations): Breach[] {
    return unsolicitedBytes.map(({ at, box, bytes }) => ({
        promise: "whole answers",
        at,
        detail: `${box} sent ${JSON.stringify(bytes.slice(0, 80))} while no request waited for an answer`,
    }));
}

function ranUnanswered({ attempts, runs }: Observations, kind: "unread" | "lost"): readonly ObservedAttempt[] {
    const ran = new Set(runs.map(run => run.requestId));
    return attempts.filter(({ requestId, unanswered }) => unanswered?.kind === kind && ran.has(requestId));
}

/** True if the box had got SIGTERM at most `keptWithin` before, and no other signal. */
function isInPlannedStop({ box, unanswered }: ObservedAttempt, { boxTerminations }: Observations): boolean {
    const endedAt = unanswered?.at ?? 0;
    const latest = boxTerminations.filter(end => end.box === box && end.at <= endedAt && end.at > endedAt - keptWithin);
    return latest.length > 0 && latest.every(end => end.signal === "SIGTERM");
}
