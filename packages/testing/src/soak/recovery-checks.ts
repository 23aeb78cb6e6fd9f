/**
 * Checks that the system recovers once the faults of a run are over: each open availability zone that has servers
 * runs requests, and each box serves. Also checks that no request within a customer's quota is ever refused for it.
 */

import type { Breach, Observations } from "./observations.js";

/** Returns the breaches of recovery and of quotas. */
export function recoveryBreaches(seen: Observations): Breach[] {
    return [...idleZoneBreaches(seen), ...failingBoxBreaches(seen), ...quotaBreaches(seen)];
}

function idleZoneBreaches({ recoveryProbe, recoveredFrom, runs }: Observations): Breach[] {
    const served = new Set(runs.filter(run => run.at >= recoveredFrom).map(run => run.zone));
    const idleZones = recoveryProbe?.zones.filter(zone => !served.has(zone)) ?? [];
    return idleZones.map(zone => ({ promise: "return", at: recoveredFrom, detail: `no request runs in ${zone}` }));
}

function failingBoxBreaches({ recoveryProbe, recoveredFrom }: Observations): Breach[] {
    const failed = recoveryProbe?.boxes.filter(({ status }) => status !== 200) ?? [];
    return failed.map(({ box, status }) => ({
        promise: "return",
        at: recoveredFrom,
        detail: `${box} answers a request with ${status}`,
    }));
}

/** Callers stay far below their customers' quotas, so any 429 is a breach. */
function quotaBreaches({ attempts }: Observations): Breach[] {
    const refused = attempts.filter(({ answer }) => answer.status === 429);
    return refused.map(({ answer, at, box, held, requestId }) => ({
        promise: "quota",
        at,
        detail: `${requestId} of ${held.customer} got 429 from ${box}, with Retry-After of ${
            answer.headers["retry-after"]
        } s`,
    }));
}
