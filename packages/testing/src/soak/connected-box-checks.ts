/**
 * What holds for boxes in touch with the store: changes are in force there within the users'
 * bounds, which are tighter than those for boxes that faults have struck.
 */

import type { Breach, Observations, ObservedRun } from "./observations.js";
import { closedWithin, configuredWithin, drainedWithin, inForceWithin } from "./soak-bounds.js";

/** Changes after which a box in touch sent something, so that the bound had something to be broken by. */
export interface ConnectedBoxCounts {
    /** Servers that left. */
    readonly leaving: number;
    /** Closings of availability zones. */
    readonly closings: number;
    /** Ends of keys, and of routes to a service. */
    readonly configurations: number;
}

/** Counts what the checks of boxes in touch could see: a run with a zero says nothing of that bound. */
export function countConnectedBoxChecks(seen: Observations): ConnectedBoxCounts {
    const times = seen.runs.filter(run => isInTouch(run, seen)).map(run => run.at);
    const isSeen = (from: number, to: number) => times.some(at => at > from && at <= to);
    const leaving = [...seen.drained.values()];
    const closings = [...seen.zoneClosures.values()].flat();
    const ends = [...new Set(seen.destinations.map(({ to }) => to)), ...keyEnds(seen)].filter(Number.isFinite);
    return {
        leaving: leaving.filter(({ from, to }) => isSeen(from - inForceWithin + drainedWithin, to)).length,
        closings: closings.filter(({ from, to }) => isSeen(from - inForceWithin + closedWithin, to)).length,
        configurations: ends.filter(end => isSeen(end - inForceWithin + configuredWithin, Infinity)).length,
    };
}

function keyEnds({ attempts, keyInvalidFrom: keyEndsAt }: Observations): number[] {
    return [...new Set(attempts.map(({ held }) => keyEndsAt(held.key) ?? Infinity))];
}

/** Returns the breaches of boxes in touch. */
export function connectedBoxBreaches(seen: Observations): Breach[] {
    return seen.runs.filter(run => isInTouch(run, seen)).flatMap(run => [
        ...atLeavingServer(run, seen),
        ...inClosedZone(run, seen),
        ...underOldConfiguration(run, seen),
    ]);
}

function isInTouch({ at, boxAddress: caller }: ObservedRun, { isConnected: isInTouch }: Observations): boolean {
    return caller !== undefined && isInTouch !== undefined && isInTouch(caller, at);
}

function atLeavingServer(run: ObservedRun, { drained }: Observations): Breach[] {
    const interval = drained.get(run.server);
    const since = (interval?.from ?? Infinity) - inForceWithin;
    if (run.at <= since + drainedWithin || run.at > (interval?.to ?? Infinity)) {
        return [];
    }
    const detail = `${run.requestId} on ${run.server} ${
        Math.round(run.at - since)
    } ms after it was to leave, by ${run.boxAddress}`;
    return [{ promise: "drain in touch", at: run.at, detail }];
}

function inClosedZone(run: ObservedRun, { zoneClosures: evacuated }: Observations): Breach[] {
    const closings = evacuated.get(run.zone) ?? [];
    const closed = closings.find(({ from, to }) => run.at > from - inForceWithin + closedWithin && run.at <= to);
    if (closed === undefined) {
        return [];
    }
    const since = Math.round(run.at - closed.from + inForceWithin);
    const detail =
        `${run.requestId} on ${run.server} in ${run.zone} ${since} ms after it was closed, by ${run.boxAddress}`;
    return [{ promise: "evacuation in touch", at: run.at, detail }];
}

/** By when the request was sent: one that is under way when the configuration changes may still be served by the old one. */
function underOldConfiguration(
    run: ObservedRun,
    { attempts, destinations, keyInvalidFrom: keyEndsAt }: Observations,
): Breach[] {
    const attempt = attempts.find(({ requestId }) => requestId === run.requestId);
    if (attempt === undefined) {
        return [];
    }
    const isLate = (end: number) => attempt.at > end - inForceWithin + configuredWithin;
    const breaches: Breach[] = [];
    if (isLate(keyEndsAt(attempt.held.key) ?? Infinity)) {
        const detail = `${run.requestId} ran under the key ${attempt.held.key} that had ended, by ${run.boxAddress}`;
        breaches.push({ promise: "customer in touch", at: run.at, detail });
    }
    const known = destinations.filter(({ path, service }) => run.url.startsWith(path) && service === run.service);
    if (known.length > 0 && known.every(({ to }) => isLate(to))) {
        const detail = `${run.requestId} for ${run.url} ran on ${run.service}, by ${run.boxAddress}`;
        breaches.push({ promise: "route in touch", at: run.at, detail });
    }
    return breaches;
}
