/**
 * What the soak checks, from what callers and servers see.
 */

import { connectedBoxBreaches } from "./connected-box-checks.js";
import { limitBreaches } from "./limit-checks.js";
import { noticeBreaches } from "./notice-checks.js";
import type { Breach, Interval, Observations, ObservedRun } from "./observations.js";
import { pipeliningBreaches } from "./pipelining-checks.js";
import { recoveryBreaches } from "./recovery-checks.js";

/** Part of the requests that must be served once all faults are over. */
const servedAfterRecovery = 0.9;

/** Bound of the boxes' settings on what a version may get that turns out bad: part of the service's requests, and requests besides. */
export const exposedShare = 0.1;
/** Requests besides. */
export const exposedAllowance = 50;
/** Milliseconds after the state in the store in which a box may still send to a version, as for any other change. */
const stoppedWithin = 7000;

/** Returns all breaches. */
export function findBreaches(seen: Observations): Breach[] {
    return [
        ...wholeAnswers(seen),
        ...atMostOnce(seen),
        ...refusedUnrun(seen),
        ...routed(seen),
        ...ofTheirCustomer(seen),
        ...drained(seen),
        ...rolledOut(seen),
        ...recovered(seen),
        ...pipeliningBreaches(seen),
        ...connectedBoxBreaches(seen),
        ...recoveryBreaches(seen),
        ...limitBreaches(seen),
        ...noticeBreaches(seen),
    ];
}

function wholeAnswers({ attempts }: Observations): Breach[] {
    const wrong = attempts.filter(({ answer, requestId }) => {
        const isOwn = answer.body.endsWith(` to ${requestId}`)
            && answer.headers["server-stamp"] === `stamp.${requestId}`;
        return answer.status === 200 && !isOwn;
    });
    return wrong.map(({ answer, at, box, requestId }) => ({
        promise: "whole answers",
        at,
        detail: `${requestId} at ${box} got ${JSON.stringify(answer.body.slice(0, 80))}`,
    }));
}

function atMostOnce({ runs, attempts }: Observations): Breach[] {
    const idempotent = new Map(attempts.map(attempt => [attempt.requestId, attempt.idempotent]));
    const first = new Map<string, ObservedRun>();
    const breaches: Breach[] = [];
    for (const run of runs) {
        const earlier = first.get(run.requestId);
        if (earlier !== undefined && idempotent.get(run.requestId) === false) {
            const detail = `${run.requestId} ran on ${earlier.server} at ${earlier.at} and on ${run.server}`;
            breaches.push({ promise: "at most once", at: run.at, detail });
        }
        first.set(run.requestId, run);
    }
    return breaches;
}

function refusedUnrun({ attempts, runs }: Observations): Breach[] {
    const ran = new Map(runs.map(run => [run.requestId, run]));
    const refused = attempts.filter(attempt =>
        !attempt.idempotent && [408, 421, 429, 503].includes(attempt.answer.status)
    );
    return refused.filter(attempt => ran.has(attempt.requestId)).map(({ answer, at, box, requestId }) => ({
        promise: "refused unrun",
        at,
        detail: `${requestId} got ${answer.status} from ${box} and ran on ${ran.get(requestId)!.server}`,
    }));
}

function routed({ destinations, runs }: Observations): Breach[] {
    const wrong = runs.filter(run => {
        const known = destinations.filter(entry => run.url.startsWith(entry.path));
        return !known.some(entry => entry.service === run.service && run.at >= entry.from && run.at <= entry.to);
    });
    return wrong.map(run => ({
        promise: "route",
        at: run.at,
        detail: `${run.requestId} for ${run.url} ran on ${run.server} of ${run.service}`,
    }));
}

/** Each run is for the customer of the caller's key, while that stands, and the key itself does not reach the server. */
function ofTheirCustomer({ attempts, keyInvalidFrom: keyEndsAt, runs }: Observations): Breach[] {
    const heldBy = new Map(attempts.map(({ held, requestId }) => [requestId, held]));
    return runs.flatMap((run): Breach[] => {
        const held = heldBy.get(run.requestId);
        if (held === undefined) {
            return [];
        }
        const { credential, tenant } = run.headers;
        const isAfterEnd = run.at > (keyEndsAt(held.key) ?? Infinity);
        if (tenant === held.customer && credential === undefined && !isAfterEnd) {
            return [];
        }
        const told = `for ${String(tenant)}, key ${credential === undefined ? "taken off" : "passed on"}`;
        const detail = `${run.requestId} of ${held.customer} ran on ${run.server} ${told}${
            isAfterEnd ? ", after its end" : ""
        }`;
        return [{ promise: "customer", at: run.at, detail }];
    });
}

function drained({ drained, zoneClosures: evacuated, runs }: Observations): Breach[] {
    const isIn = (interval: Interval, at: number) => at >= interval.from && at <= interval.to;
    return runs.flatMap((run): Breach[] => {
        const gone = drained.get(run.server);
        if (gone !== undefined && isIn(gone, run.at)) {
            return [{
                promise: "drain",
                at: run.at,
                detail: `${run.requestId} on ${run.server}, leaving from ${gone.from}`,
            }];
        }
        const closed = evacuated.get(run.zone)?.find(interval => isIn(interval, run.at));
        if (closed === undefined) {
            return [];
        }
        const detail = `${run.requestId} on ${run.server} in ${run.zone}, closed from ${closed.from}`;
        return [{ promise: "evacuation", at: run.at, detail }];
    });
}

/** A bad version stays within its bound, is never completed, and gets nothing more soon after; a state once final stays. */
function rolledOut({ rollouts, runs }: Observations): Breach[] {
    return rollouts.flatMap((rollout): Breach[] => {
        const { from, isBad, servers, service, states, to, version } = rollout;
        const breaches: Breach[] = [];
        const final = states.findIndex(({ state }) => state !== "running");
        const told = states.map(({ at, state }) => `${state} at ${Math.round(at)}`).join(", ");
        const isCompletedBad = isBad && states[final]?.state === "completed";
        if (final >= 0 && final < states.length - 1 || isCompletedBad) {
            const detail = `${isBad ? "bad" : "good"} ${version} of ${service}: ${told}`;
            breaches.push({ promise: "one outcome", at: states[final].at, detail });
        }
        const during = runs.filter(run => run.service === service && run.at >= from && run.at <= to);
        const exposed = during.filter(run => servers.has(run.server)).length;
        const allowed = exposedShare * during.length + exposedAllowance;
        if (isBad && exposed > allowed) {
            const detail = `${version} of ${service} had ${exposed} of ${during.length}, ${allowed} allowed; ${told}`;
            breaches.push({ promise: "exposure", at: from, detail });
        }
        const endsAt = states[final]?.at ?? to;
        const late = runs.filter(run => servers.has(run.server) && run.at > endsAt + stoppedWithin);
        if (isBad && late.length > 0) {
            const detail = `${version} of ${service} had ${late.length} more, the last at ${late.at(-1)!.at}; ${told}`;
            breaches.push({ promise: "roll-back", at: endsAt, detail });
        }
        return breaches;
    });
}

function recovered({ attempts, recoveredFrom }: Observations): Breach[] {
    const late = attempts.filter(attempt => attempt.at >= recoveredFrom);
    const served = late.filter(attempt => attempt.answer.status === 200).length;
    if (late.length > 0 && served >= late.length * servedAfterRecovery) {
        return [];
    }
    return [{ promise: "recovery", at: recoveredFrom, detail: `${served} of ${late.length} attempts served` }];
}
