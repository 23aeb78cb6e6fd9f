/**
 * Checks that boxes follow what servers announce in their answers, as the users require. Once a box has passed
 * on an answer in which a server announced that it is leaving, the box sends the server no request that a caller
 * sent later than a short time after that. During a back-off that a server asked a box for, the box sends it at
 * most two requests.
 *
 * Boxes that had a fault themselves are excused.
 */

import type { Breach, Observations, ObservedArrival, ObservedBackoff } from "./observations.js";

/**
 * Milliseconds after a box has passed on that a server is leaving from which the box must send it nothing: the
 * longer of the users' `drain` bounds.
 */
const drainWithin = 2500;
/**
 * Maximum time in milliseconds from the beginning of a request at a server until its answer is passed on, on a
 * link without a fault.
 */
const passedOnWithin = 1000;
/**
 * Milliseconds after the rejection from which a back-off must be kept, and the requests of a box that are
 * allowed in it.
 */
const keptAfter = 500;
const allowedInBackoff = 2;

/** How much the checks could test. */
export interface NoticeCounts {
    /** Pairs of a box and a server where the box passed on that the server is leaving. */
    readonly leaving: number;
    /** Answers that asked a box for back-off. */
    readonly rests: number;
}

/** Returns the breaches of what servers announced. */
export function noticeBreaches(seen: Observations): Breach[] {
    return [...leavingBreaches(seen), ...(seen.backoffs ?? []).flatMap(backoff => backoffBreaches(backoff, seen))];
}

/** Counts the announcements that reached boxes. */
export function countNotices(seen: Observations): NoticeCounts {
    const rejectionCount = (seen.backoffs ?? []).reduce((sum, { rejections }) => sum + rejections.length, 0);
    return { leaving: passedOnNotices(seen).length, rests: rejectionCount };
}

/** A box that passed on an answer in which a server announced that it is leaving. */
interface PassedOnNotice {
    readonly server: string;
    readonly boxAddress: string;
    /** Latest time at which the box had passed it on. */
    readonly at: number;
}

function passedOnNotices({ attempts, leaving = [], runs }: Observations): readonly PassedOnNotice[] {
    const served = new Set(attempts.filter(({ answer }) => answer.status === 200).map(({ requestId }) => requestId));
    return leaving.flatMap(({ from, server }) => {
        const timeByBox = new Map<string, number>();
        const announced = runs.filter(run => run.server === server && run.at >= from && served.has(run.requestId));
        for (const { at, boxAddress = "" } of announced) {
            timeByBox.set(boxAddress, Math.min(timeByBox.get(boxAddress) ?? Infinity, at + passedOnWithin));
        }
        return [...timeByBox].map(([boxAddress, at]) => ({ server, boxAddress, at }));
    });
}

function leavingBreaches(seen: Observations): Breach[] {
    const sentAt = new Map(seen.attempts.map(({ at, requestId }) => [requestId, at]));
    return passedOnNotices(seen).flatMap(({ at, boxAddress, server }) => {
        const late = seen.runs.filter(run =>
            run.server === server && run.boxAddress === boxAddress
            && (sentAt.get(run.requestId) ?? 0) > at + drainWithin
        );
        const unexcused = late.filter(run => seen.hadBoxFault?.(boxAddress, run.at) !== true);
        return unexcused.map((run): Breach => ({
            promise: "leaving",
            at: run.at,
            detail: `${run.requestId} at ${server} from ${boxAddress}, which by ${
                Math.round(at)
            } had passed on that it is leaving`,
        }));
    });
}

function backoffBreaches(
    { arrivals, rejections, backoffMilliseconds, server }: ObservedBackoff,
    { hadBoxFault }: Observations,
): Breach[] {
    const isExcused = ({ at, boxAddress }: ObservedArrival) => hadBoxFault?.(boxAddress, at) === true;
    return rejections.filter(rejection => !isExcused(rejection)).flatMap((rejection): Breach[] => {
        const inBackoff = arrivals.filter(({ at, boxAddress }) =>
            boxAddress === rejection.boxAddress && at > rejection.at + keptAfter
            && at < rejection.at + backoffMilliseconds
        );
        if (inBackoff.length <= allowedInBackoff || inBackoff.some(isExcused)) {
            return [];
        }
        const detail =
            `${server} got ${inBackoff.length} from ${rejection.boxAddress} in a back-off of ${backoffMilliseconds} ms`;
        return [{ promise: "rest", at: inBackoff[allowedInBackoff].at, detail }];
    });
}
