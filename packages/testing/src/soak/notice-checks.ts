/**
 * What servers get that tell of themselves in their answers, by the users' words: nothing that a caller sent
 * later than a while after the box had passed on that the server leaves, and two requests of a box at most in
 * the rest that it was asked for.
 *
 * A box that a fault has struck itself is excused.
 */

import type { Breach, Observations, ObservedArrival, ObservedBackoff } from "./observations.js";

/** Milliseconds after it has passed on that a server leaves from which a box must send it nothing more. The longer `drain` of the users. */
const drain = 2500;
/** Milliseconds from the beginning of a request at a server until its answer has been passed on, at most on a link that is not harmed. */
const passedOnWithin = 1000;
/** Milliseconds after which a rest must be kept, and requests of a box that are borne in it. */
const toldAfter = 500;
const borneInRest = 2;

/** How much the checks could see. */
export interface NoticeCounts {
    /** Pairs of a box and a server of which the box had passed on that it leaves. */
    readonly leaving: number;
    /** Answers that asked a box for rest. */
    readonly rests: number;
}

/** Returns the breaches. */
export function noticeBreaches(seen: Observations): Breach[] {
    return [...leavingBreaches(seen), ...(seen.backoffs ?? []).flatMap(rest => restBreaches(rest, seen))];
}

/** Counts what was said to boxes. */
export function countNotices(seen: Observations): NoticeCounts {
    const rests = (seen.backoffs ?? []).reduce((sum, { rejections: asked }) => sum + asked.length, 0);
    return { leaving: passedOn(seen).length, rests };
}

/** A box that has passed on that a server leaves, and by when. */
interface PassedOn {
    readonly server: string;
    readonly caller: string;
    readonly at: number;
}

function passedOn({ attempts, leaving = [], runs }: Observations): readonly PassedOn[] {
    const served = new Set(attempts.filter(({ answer }) => answer.status === 200).map(({ requestId }) => requestId));
    return leaving.flatMap(({ from, server }) => {
        const told = new Map<string, number>();
        const heard = runs.filter(run => run.server === server && run.at >= from && served.has(run.requestId));
        for (const { at, boxAddress: caller = "" } of heard) {
            told.set(caller, Math.min(told.get(caller) ?? Infinity, at + passedOnWithin));
        }
        return [...told].map(([caller, at]) => ({ server, caller, at }));
    });
}

function leavingBreaches(seen: Observations): Breach[] {
    const sentAt = new Map(seen.attempts.map(({ at, requestId }) => [requestId, at]));
    return passedOn(seen).flatMap(({ at, caller, server }) => {
        const late = seen.runs.filter(run =>
            run.server === server && run.boxAddress === caller && (sentAt.get(run.requestId) ?? 0) > at + drain
        );
        const unexcused = late.filter(run => seen.hadBoxFault?.(caller, run.at) !== true);
        return unexcused.map((run): Breach => ({
            promise: "leaving",
            at: run.at,
            detail: `${run.requestId} at ${server} from ${caller}, told by ${Math.round(at)} that it leaves`,
        }));
    });
}

function restBreaches(
    { arrivals: arrived, rejections: asked, backoffMilliseconds: rest, server }: ObservedBackoff,
    { hadBoxFault: wasStruck }: Observations,
): Breach[] {
    const isExcused = ({ at, boxAddress: caller }: ObservedArrival) => wasStruck?.(caller, at) === true;
    return asked.filter(told => !isExcused(told)).flatMap((told): Breach[] => {
        const inRest = arrived.filter(({ at, boxAddress: caller }) =>
            caller === told.boxAddress && at > told.at + toldAfter && at < told.at + rest
        );
        if (inRest.length <= borneInRest || inRest.some(isExcused)) {
            return [];
        }
        const detail = `${server} got ${inRest.length} of ${told.boxAddress} in the ${rest} ms that it had asked for`;
        return [{ promise: "rest", at: inRest[borneInRest].at, detail }];
    });
}
