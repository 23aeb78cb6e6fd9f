/**
 * What must come back once the faults of a run are over: work in each availability zone that is open and has
 * servers, an answer of each box, and at any time what a customer may ask within its quota.
 */

import type { Breach, Observations } from "./observations.js";

/** Returns the breaches of what must come back. */
export function recoveryBreaches(seen: Observations): Breach[] {
    return [...zonesWithoutWork(seen), ...boxesWithoutAnswer(seen), ...refusedWithinQuota(seen)];
}

function zonesWithoutWork({ recoveryProbe: back, recoveredFrom, runs }: Observations): Breach[] {
    const served = new Set(runs.filter(run => run.at >= recoveredFrom).map(run => run.zone));
    const idle = back?.zones.filter(zone => !served.has(zone)) ?? [];
    return idle.map(zone => ({ promise: "return", at: recoveredFrom, detail: `nothing runs in ${zone}` }));
}

function boxesWithoutAnswer({ recoveryProbe: back, recoveredFrom }: Observations): Breach[] {
    const failed = back?.boxes.filter(({ status }) => status !== 200) ?? [];
    return failed.map(({ box, status }) => ({
        promise: "return",
        at: recoveredFrom,
        detail: `${box} answers a request with ${status}`,
    }));
}

/** The callers of a run ask far less than their customers' quotas. */
function refusedWithinQuota({ attempts }: Observations): Breach[] {
    const refused = attempts.filter(({ answer }) => answer.status === 429);
    return refused.map(({ answer, at, box, held, requestId }) => ({
        promise: "quota",
        at,
        detail: `${requestId} of ${held.customer} got 429 from ${box}, to come back after ${
            answer.headers["retry-after"]
        } s`,
    }));
}
