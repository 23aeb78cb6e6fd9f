/**
 * Checks of boxes that are connected to the store: changes must be in force there within the
 * bounds that the users require, which are tighter than the bound for boxes that had faults.
 */

import type { Breach, Observations, ObservedRun } from "./observations.js";
import { closedWithin, configuredWithin, drainedWithin, inForceWithin } from "./soak-bounds.js";

/**
 * Numbers of changes that the checks could test: after the bound on the change had passed, and while the change still
 * applied, a request that some connected box had sent ran.
 */
export interface ConnectedBoxCounts {
    /** Servers that drained. */
    readonly leaving: number;
    /** Closures of availability zones. */
    readonly closings: number;
    /** Keys that became invalid, and routes that moved to another service. */
    readonly configurations: number;
}

/**
 * Counts the changes that the checks of connected boxes could test: a soak run with a zero proves nothing about
 * that bound.
 */
export function countConnectedBoxChecks(seen: Observations): ConnectedBoxCounts {
    const times = seen.runs.filter(run => isFromConnectedBox(run, seen)).map(run => run.at);
    const isTested = (from: number, to: number) => times.some(at => at > from && at <= to);
    const leaving = [...seen.drained.values()];
    const closings = [...seen.zoneClosures.values()].flat();
    const ends = [...new Set(seen.destinations.map(({ to }) => to)), ...invalidationTimes(seen)].filter(
        Number.isFinite,
    );
    return {
        leaving: leaving.filter(({ from, to }) => isTested(from - inForceWithin + drainedWithin, to)).length,
        closings: closings.filter(({ from, to }) => isTested(from - inForceWithin + closedWithin, to)).length,
        configurations: ends.filter(end => isTested(end - inForceWithin + configuredWithin, Infinity)).length,
    };
}

function invalidationTimes({ attempts, keyInvalidFrom }: Observations): number[] {
    return [...new Set(attempts.map(({ held }) => keyInvalidFrom(held.key) ?? Infinity))];
}

/** Returns the breaches by boxes that were connected to the store. */
export function connectedBoxBreaches(seen: Observations): Breach[] {
    return seen.runs.filter(run => isFromConnectedBox(run, seen)).flatMap(run => [
        ...drainBreaches(run, seen),
        ...zoneClosureBreaches(run, seen),
        ...configurationBreaches(run, seen),
    ]);
}

function isFromConnectedBox({ at, boxAddress }: ObservedRun, { isConnected }: Observations): boolean {
    return boxAddress !== undefined && isConnected !== undefined && isConnected(boxAddress, at);
}

function drainBreaches(run: ObservedRun, { drained }: Observations): Breach[] {
    const interval = drained.get(run.server);
    const since = (interval?.from ?? Infinity) - inForceWithin;
    if (run.at <= since + drainedWithin || run.at > (interval?.to ?? Infinity)) {
        return [];
    }
    const detail = `${run.requestId} on ${run.server} ${
        Math.round(run.at - since)
    } ms after it began to drain, by ${run.boxAddress}`;
    return [{ promise: "drain in touch", at: run.at, detail }];
}

function zoneClosureBreaches(run: ObservedRun, { zoneClosures }: Observations): Breach[] {
    const closures = zoneClosures.get(run.zone) ?? [];
    const closed = closures.find(({ from, to }) => run.at > from - inForceWithin + closedWithin && run.at <= to);
    if (closed === undefined) {
        return [];
    }
    const since = Math.round(run.at - closed.from + inForceWithin);
    const detail =
        `${run.requestId} on ${run.server} in ${run.zone} ${since} ms after it was closed, by ${run.boxAddress}`;
    return [{ promise: "evacuation in touch", at: run.at, detail }];
}

/**
 * Compares the bound with the time at which the request was sent: a request in progress when the configuration changes
 * may still be served under the old one.
 */
function configurationBreaches(
    run: ObservedRun,
    { attempts, destinations, keyInvalidFrom }: Observations,
): Breach[] {
    const attempt = attempts.find(({ requestId }) => requestId === run.requestId);
    if (attempt === undefined) {
        return [];
    }
    const isLate = (end: number) => attempt.at > end - inForceWithin + configuredWithin;
    const breaches: Breach[] = [];
    if (isLate(keyInvalidFrom(attempt.held.key) ?? Infinity)) {
        const detail =
            `${run.requestId} ran under the key ${attempt.held.key}, which was no longer valid, by ${run.boxAddress}`;
        breaches.push({ promise: "customer in touch", at: run.at, detail });
    }
    const known = destinations.filter(({ path, service }) => run.url.startsWith(path) && service === run.service);
    if (known.length > 0 && known.every(({ to }) => isLate(to))) {
        const detail =
            `${run.requestId} for ${run.url} ran on ${run.service}, its former service, by ${run.boxAddress}`;
        breaches.push({ promise: "route in touch", at: run.at, detail });
    }
    return breaches;
}
