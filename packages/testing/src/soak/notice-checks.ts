/**
 * Checks that boxes follow what servers announce in their answers, as the users require. Once a box has passed
 * on an answer in which a server announced that it is leaving, the box sends the server no request that a caller
 * sent later than a short time after that. During a back-off that a server asked a box for, the box sends it at
 * most two requests.
 *
 * A box that was restarted or paused since it passed on an announcement is excused from it, and a box that had a fault
 * lately from a back-off.
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
    return { leaving: countPairs(passedOnNotices(seen)), rests: rejectionCount };
}

/** An answer that a box passed on, in which a server announced that it is leaving. */
interface PassedOnNotice {
    readonly server: string;
    readonly boxAddress: string;
    /** Time at which the request began to run, before the box had the answer. */
    readonly ranAt: number;
}

/** The notices in the order in which their requests ran. */
function passedOnNotices({ attempts, leaving = [], runs }: Observations): readonly PassedOnNotice[] {
    const served = new Set(attempts.filter(({ answer }) => answer.status === 200).map(({ requestId }) => requestId));
    return leaving.flatMap(({ from, server }) =>
        runs
            .filter(run => run.server === server && run.at >= from && served.has(run.requestId))
            .map(({ at, boxAddress = "" }): PassedOnNotice => ({ server, boxAddress, ranAt: at }))
    ).sort((one, other) => one.ranAt - other.ranAt);
}

function countPairs(notices: readonly PassedOnNotice[]): number {
    return new Set(notices.map(({ boxAddress, server }) => `${boxAddress} ${server}`)).size;
}

function leavingBreaches(seen: Observations): Breach[] {
    const sentAt = new Map(seen.attempts.map(({ at, requestId }) => [requestId, at]));
    const notices = passedOnNotices(seen);
    return seen.runs.flatMap((run): Breach[] => {
        const { boxAddress = "" } = run;
        const broken = notices.find(notice =>
            notice.server === run.server && notice.boxAddress === boxAddress
            && (sentAt.get(run.requestId) ?? 0) > notice.ranAt + passedOnWithin + drainWithin
            && seen.hadBoxFaultBetween?.(boxAddress, notice.ranAt, run.at) !== true
        );
        if (broken === undefined) {
            return [];
        }
        const passedOnAt = Math.round(broken.ranAt + passedOnWithin);
        return [{
            promise: "leaving",
            at: run.at,
            detail:
                `${run.requestId} at ${run.server} from ${boxAddress}, which by ${passedOnAt} had passed on that it is `
                + "leaving",
        }];
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
