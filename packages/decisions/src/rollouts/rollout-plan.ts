/**
 * When a roll-out moves, and how much its version may get before: it is watched
 * to the last moment at which a decision still arrives in time, and the account keeps what the move needs.
 *
 * The watch has two parts. First the sample is spread over many servers, so that a
 * few bad ones are no bad version; then what is left goes to few, which so bear the load of a full day.
 *
 * Owns nothing.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { exposureSafetyFactor } from "./exposure-budget.js";
import type { RolloutBounds } from "./rollout-order.js";

/** What a plan goes by. */
export interface PlanInputs {
    readonly bounds: RolloutBounds;
    readonly duration: Milliseconds;
    /** Requests a second of the service at all boxes. */
    readonly rate: number;
    /** Mean time of a request at servers of other versions. */
    readonly meanRequestTime: Milliseconds;
    /** Requests that the order's account allows now, and the time since the order. */
    readonly allowed: number;
    readonly age: Milliseconds;
}

/** Times since the order, and requests. */
export interface RolloutPlan {
    /** When the sample is concentrated on few servers. */
    readonly concentrateAt: Milliseconds;
    /** When what the watch may send has been sent: the answers come until the move. */
    readonly samplingEndsAt: Milliseconds;
    /** When all new requests go to the target. */
    readonly moveAt: Milliseconds;
    /** When the outcome has to be written, whatever is known. */
    readonly writeAt: Milliseconds;
    /** Requests that the target may get before the sample is concentrated. */
    readonly requestsBeforeConcentration: number;
    /** Requests that the target may get before the move. */
    readonly requestsBeforeMove: number;
}

/** Milliseconds that are kept for the write at the end: a slow store and a second try. */
const writeReserve = 1200;
/** Part of the duration that the reserve for the write takes at most. */
const mostWritePart = 0.15;
/** Times the mean work after which the requests in progress elsewhere have ended, nearly all: work is spread by a few times its mean. */
const workTimes = 2;
/** Milliseconds in which all boxes hear that the move has begun, and tell that it is done. */
const moveMessages = 500;
/** Requests that the version is judged by, if the account has as many to spare. */
const enoughJudged = 120;
/** Part of the account that the version is judged by at least, */
const leastJudgedPart = 0.3;
/** and that the move may take in any case. */
const leastMovePart = 0.5;
/** Part of the watch that is kept at most for the last answers to come. */
const mostAnswerPart = 0.15;
/** Milliseconds for which the sample is concentrated: load builds up. */
const loadTime = 2000;
/** Part of the watch that this takes at most. */
const mostLoadPart = 0.3;
/** Part of what the watch may send that is kept for it. */
const loadBudgetPart = 0.55;
/** Milliseconds of a second, the unit of the rate. */
const second = 1000;

/** Plans the rest of a roll-out. */
export function planRollout(inputs: PlanInputs): RolloutPlan {
    const { duration, rate, meanRequestTime: workTime } = inputs;
    const writeAt = duration - Math.min(writeReserve, duration * mostWritePart);
    const wantedMove = workTimes * workTime + moveMessages;
    const account = allowedAt(inputs, writeAt);
    const perMillisecond = Math.max(rate, 0.001) / second;
    const moveTime = Math.min(wantedMove, mostForMove(account) / perMillisecond);
    const moveAt = Math.max(0, writeAt - moveTime);
    const watched = Math.max(0, account - moveTime * perMillisecond);
    const sentBy = moveAt - Math.min(workTimes * workTime, moveAt * mostAnswerPart);
    return {
        concentrateAt: milliseconds(sentBy - Math.min(loadTime, sentBy * mostLoadPart)),
        samplingEndsAt: milliseconds(sentBy),
        moveAt: milliseconds(moveAt),
        writeAt: milliseconds(writeAt),
        requestsBeforeConcentration: watched * (1 - loadBudgetPart),
        requestsBeforeMove: watched,
    };
}

/** Requests that the move may take: the version is judged by the others. */
function mostForMove(account: number): number {
    const judged = Math.max(enoughJudged, account * leastJudgedPart);
    return Math.max(account - judged, account * leastMovePart);
}

/** What the account will allow at a later time, if requests go on as now. */
function allowedAt({ age, allowed, bounds, rate }: PlanInputs, later: number): number {
    const coming = Math.max(0, later - age) * rate / second;
    return allowed + exposureSafetyFactor * bounds.exposedShare * coming;
}
