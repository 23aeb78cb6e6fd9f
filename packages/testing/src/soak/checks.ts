/**
 * Finds all breaches of a soak run in what its callers and servers observed: the
 * checks of this module and those of the other `*-checks` modules.
 */

import { coldBreaches } from "./cold-checks.js";
import { connectedBoxBreaches } from "./connected-box-checks.js";
import { departureBreaches } from "./departure-checks.js";
import { limitBreaches } from "./limit-checks.js";
import { noticeBreaches } from "./notice-checks.js";
import type { Breach, Interval, Observations, ObservedRun } from "./observations.js";
import { partitionBreaches } from "./partition-checks.js";
import { pipeliningBreaches } from "./pipelining-checks.js";
import { recoveryBreaches } from "./recovery-checks.js";
import { retryBreaches } from "./retry-checks.js";

/** Fraction of the requests that must be served once all faults are over. */
const minServedAfterRecovery = 0.9;

/**
 * Exposure bound in the boxes' settings: fraction of a service's requests that a version which turns out bad may
 * get.
 */
export const exposedShare = 0.1;
/** Requests that such a version may get in addition to that fraction. */
export const exposedAllowance = 50;
/**
 * Milliseconds after a final state was written to the store in which a box may still send to the version:
 * `inForceWithin`, as for any other change.
 */
const stoppedWithin = 7000;

/** Returns the breaches of all checks. */
export function findBreaches(seen: Observations): Breach[] {
    return [
        ...answerBreaches(seen),
        ...atMostOnceBreaches(seen),
        ...refusalBreaches(seen),
        ...routeBreaches(seen),
        ...customerBreaches(seen),
        ...closedServerBreaches(seen),
        ...rolloutBreaches(seen),
        ...servedFractionBreaches(seen),
        ...pipeliningBreaches(seen),
        ...connectedBoxBreaches(seen),
        ...recoveryBreaches(seen),
        ...limitBreaches(seen),
        ...noticeBreaches(seen),
        ...partitionBreaches(seen),
        ...retryBreaches(seen),
        ...departureBreaches(seen),
        ...coldBreaches(seen),
        ...statusBreaches(seen),
        ...ownEndBreaches(seen),
    ];
}

/** A 200 must carry the whole answer to the caller's own request. */
function answerBreaches({ attempts }: Observations): Breach[] {
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

/** A caller gets no answer (status 0), or one whose status ends its request. */
function statusBreaches({ attempts }: Observations): Breach[] {
    const odd = attempts.filter(({ answer }) => answer.status !== 0 && (answer.status < 200 || answer.status > 599));
    return odd.map(({ answer, at, box, requestId }) => ({
        promise: "status",
        at,
        detail: `${requestId} at ${box} got ${answer.status}`,
    }));
}

/** Faults of others must not end a box. */
function ownEndBreaches({ ownEnds = [], recoveredFrom }: Observations): Breach[] {
    return ownEnds.map(({ box, code }) => ({
        promise: "own end",
        at: recoveredFrom,
        detail: `the process of ${box} ended with ${code}`,
    }));
}

/** A request that is not idempotent must run at most once. */
function atMostOnceBreaches({ runs, attempts }: Observations): Breach[] {
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

/** A request that is not idempotent and was refused must not have run. */
function refusalBreaches({ attempts, runs }: Observations): Breach[] {
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

/** A request must run on a service that its path may go to at that time. */
function routeBreaches({ destinations, runs }: Observations): Breach[] {
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

/** A request must run for the customer of its key, while the key is valid, and the key must not reach the server. */
function customerBreaches({ attempts, keyInvalidFrom, runs }: Observations): Breach[] {
    const heldBy = new Map(attempts.map(({ held, requestId }) => [requestId, held]));
    return runs.flatMap((run): Breach[] => {
        const held = heldBy.get(run.requestId);
        if (held === undefined) {
            return [];
        }
        const { credential, tenant } = run.headers;
        const isKeyInvalid = run.at > (keyInvalidFrom(held.key) ?? Infinity);
        if (tenant === held.customer && credential === undefined && !isKeyInvalid) {
            return [];
        }
        const received = `for ${String(tenant)}, key ${credential === undefined ? "removed" : "passed on"}`;
        const detail = `${run.requestId} of ${held.customer} ran on ${run.server} ${received}${
            isKeyInvalid ? ", after the key became invalid" : ""
        }`;
        return [{ promise: "customer", at: run.at, detail }];
    });
}

/** Nothing must run on a server that has drained or whose availability zone is closed. */
function closedServerBreaches({ drained, zoneClosures, runs }: Observations): Breach[] {
    const isWithin = (interval: Interval, at: number) => at >= interval.from && at <= interval.to;
    return runs.flatMap((run): Breach[] => {
        const drainInterval = drained.get(run.server);
        if (drainInterval !== undefined && isWithin(drainInterval, run.at)) {
            return [{
                promise: "drain",
                at: run.at,
                detail: `${run.requestId} on ${run.server}, which must get nothing since ${drainInterval.from}`,
            }];
        }
        const closed = zoneClosures.get(run.zone)?.find(interval => isWithin(interval, run.at));
        if (closed === undefined) {
            return [];
        }
        const detail = `${run.requestId} on ${run.server} in ${run.zone}, which must be closed since ${closed.from}`;
        return [{ promise: "evacuation", at: run.at, detail }];
    });
}

/**
 * A bad version stays within its exposure bound, never completes, and gets no requests soon after its roll-out
 * ends; a final state stays.
 */
function rolloutBreaches({ rollouts, runs }: Observations): Breach[] {
    return rollouts.flatMap((rollout): Breach[] => {
        const { from, isBad, servers, service, states, to, version } = rollout;
        const breaches: Breach[] = [];
        const final = states.findIndex(({ state }) => state !== "running");
        const history = states.map(({ at, state }) => `${state} at ${Math.round(at)}`).join(", ");
        const isCompletedBad = isBad && states[final]?.state === "completed";
        if (final >= 0 && final < states.length - 1 || isCompletedBad) {
            const detail = `${isBad ? "bad" : "good"} ${version} of ${service}: ${history}`;
            breaches.push({ promise: "one outcome", at: states[final].at, detail });
        }
        const during = runs.filter(run => run.service === service && run.at >= from && run.at <= to);
        const exposed = during.filter(run => servers.has(run.server)).length;
        const allowed = exposedShare * during.length + exposedAllowance;
        if (isBad && exposed > allowed) {
            const detail =
                `${version} of ${service} got ${exposed} of ${during.length} requests, ${allowed} allowed; ${history}`;
            breaches.push({ promise: "exposure", at: from, detail });
        }
        const endsAt = states[final]?.at ?? to;
        const late = runs.filter(run => servers.has(run.server) && run.at > endsAt + stoppedWithin);
        if (isBad && late.length > 0) {
            const detail = `${version} of ${service} got ${late.length} requests too late, the last at ${
                late.at(-1)!.at
            }; ${history}`;
            breaches.push({ promise: "roll-back", at: endsAt, detail });
        }
        return breaches;
    });
}

/** Once all faults are over, nearly all requests must be served. */
function servedFractionBreaches({ attempts, recoveredFrom }: Observations): Breach[] {
    const late = attempts.filter(attempt => attempt.at >= recoveredFrom);
    const served = late.filter(attempt => attempt.answer.status === 200).length;
    if (late.length > 0 && served >= late.length * minServedAfterRecovery) {
        return [];
    }
    return [{ promise: "recovery", at: recoveredFrom, detail: `${served} of ${late.length} attempts served` }];
}
