/**
 * Checks that the retries of all boxes together stay within their budget in every window.
 */

import type { Breach, Observations } from "./observations.js";

/** The budget in the boxes' settings: retries per request, window in milliseconds, and retries beyond for a service. */
export const retryRatio = 0.2;
export const retryWindow = 10_000;
export const retryAllowance = 58;
/** Services of a run; the check takes their budgets together. */
const serviceCount = 2;

/** Returns a breach for the window that exceeds the budget by most, if any does. */
export function retryBreaches(seen: Observations): Breach[] {
    const { arrivals = [] } = seen;
    const requestTimes = requestTimesOf(seen);
    const retryTimes = retryTimesOf(arrivals);
    let worst: Breach | undefined;
    let worstExcess = 0;
    for (const end of retryTimes) {
        const retries = countIn(retryTimes, end);
        const allowed = allowedIn(requestTimes, end);
        if (retries - allowed > worstExcess) {
            worstExcess = retries - allowed;
            worst = {
                promise: "retries",
                at: end,
                detail: `${retries} retries in ${retryWindow} ms, ${allowed} allowed`,
            };
        }
    }
    return worst === undefined ? [] : [worst];
}

/** The largest fraction of the budget of a window that was used. */
export function usedRetryShare(seen: Observations): number {
    const { arrivals = [] } = seen;
    const requestTimes = requestTimesOf(seen);
    const retryTimes = retryTimesOf(arrivals);
    return Math.max(0, ...retryTimes.map(end => countIn(retryTimes, end) / allowedIn(requestTimes, end)));
}

function requestTimesOf({ attempts, otherRequestTimes = [] }: Observations): readonly number[] {
    return [...attempts.map(({ at }) => at), ...otherRequestTimes].sort((a, b) => a - b);
}

/** Times of the arrivals beyond the first of their request. */
function retryTimesOf(arrivals: NonNullable<Observations["arrivals"]>): readonly number[] {
    const seen = new Set<string>();
    return arrivals.filter(({ requestId }) => seen.has(requestId) || !seen.add(requestId)).map(({ at }) => at);
}

/** The requests that count are those of the window, of the one before, or of the one half a window before: the most. */
function allowedIn(requestTimes: readonly number[], end: number): number {
    const counts = [0, retryWindow / 2, retryWindow].map(before => countIn(requestTimes, end - before));
    return retryRatio * Math.max(...counts) + retryAllowance * serviceCount;
}

function countIn(times: readonly number[], end: number): number {
    return times.filter(at => at > end - retryWindow && at <= end).length;
}
