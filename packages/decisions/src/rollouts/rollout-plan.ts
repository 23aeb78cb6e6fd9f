/**
 * Plans when a roll-out moves and how many requests its version may get before that. The
 * version is watched for as long as a decision still arrives in time, and the plan keeps
 * as much of the exposure budget as the move needs.
 *
 * The watch has two parts. At first the sample is spread over many servers, so that a few
 * bad ones are not taken for a bad version. Then the rest is concentrated on few servers,
 * which thus get the load of full operation.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { exposureSafetyFactor } from "./exposure-budget.js";
import type { RolloutBounds } from "./rollout-order.js";

/** Inputs of a plan. */
export interface PlanInputs {
    readonly bounds: RolloutBounds;
    readonly duration: Milliseconds;
    /** Requests per second of the service at all boxes. */
    readonly rate: number;
    /** Mean time of a request at servers of other versions. */
    readonly meanRequestTime: Milliseconds;
    /** Requests that the order's exposure budget allows now. */
    readonly allowed: number;
    /** Time since the order. */
    readonly age: Milliseconds;
}

/** A plan in times since the order and cumulative numbers of requests. */
export interface RolloutPlan {
    /** When the sample is concentrated on few servers. */
    readonly concentrateAt: Milliseconds;
    /** When the last request of the watch has been sent; its answers arrive until the move. */
    readonly samplingEndsAt: Milliseconds;
    /** When all new requests go to the target. */
    readonly moveAt: Milliseconds;
    /** When the outcome has to be written, whatever the evidence. */
    readonly writeAt: Milliseconds;
    /** Requests that the target may get before the sample is concentrated. */
    readonly requestsBeforeConcentration: number;
    /** Requests that the target may get before the move. */
    readonly requestsBeforeMove: number;
}

/** Milliseconds that are reserved for the write at the end: a slow store and a second attempt. */
const writeReserve = 1200;
/** Maximum fraction of the duration that is reserved for the write. */
const maxWriteReserveFraction = 0.15;
/**
 * Multiple of the mean request time after which nearly all requests in progress at other versions have ended;
 * single requests may take a few times the mean.
 */
const drainFactor = 2;
/** Milliseconds in which all boxes learn that the move has begun and report that it is done. */
const moveMessageTime = 500;
/** Requests that the verdict should rest on, if the budget has that many to spare. */
const wantedVerdictRequests = 120;
/** Minimum fraction of the budget that is reserved for the verdict, unless `minMoveFraction` takes precedence. */
const minVerdictFraction = 0.3;
/** Fraction of the budget that the move may take in any case. */
const minMoveFraction = 0.5;
/** Maximum fraction of the watch that is spent waiting for the last answers. */
const maxAnswerWaitFraction = 0.15;
/** Milliseconds for which the sample is concentrated, so that load builds up. */
const concentrationTime = 2000;
/** Maximum fraction of the watch for which the sample is concentrated. */
const maxConcentrationFraction = 0.3;
/** Fraction of the watch's requests that is kept for the concentrated sample. */
const concentrationBudgetFraction = 0.55;
/** One second in milliseconds; rates are in requests per second. */
const second = 1000;

/** Plans the remainder of a roll-out. */
export function planRollout(inputs: PlanInputs): RolloutPlan {
    const { duration, rate, meanRequestTime } = inputs;
    const writeAt = duration - Math.min(writeReserve, duration * maxWriteReserveFraction);
    const wantedMove = drainFactor * meanRequestTime + moveMessageTime;
    const allowedAtWrite = allowanceAt(inputs, writeAt);
    const perMillisecond = Math.max(rate, 0.001) / second;
    const moveTime = Math.min(wantedMove, maxMoveRequests(allowedAtWrite) / perMillisecond);
    const moveAt = Math.max(0, writeAt - moveTime);
    const watchRequests = Math.max(0, allowedAtWrite - moveTime * perMillisecond);
    const samplingEndsAt = moveAt - Math.min(drainFactor * meanRequestTime, moveAt * maxAnswerWaitFraction);
    return {
        concentrateAt: milliseconds(
            samplingEndsAt - Math.min(concentrationTime, samplingEndsAt * maxConcentrationFraction),
        ),
        samplingEndsAt: milliseconds(samplingEndsAt),
        moveAt: milliseconds(moveAt),
        writeAt: milliseconds(writeAt),
        requestsBeforeConcentration: watchRequests * (1 - concentrationBudgetFraction),
        requestsBeforeMove: watchRequests,
    };
}

/** Returns the maximum number of requests for the move; the verdict rests on the others. */
function maxMoveRequests(allowedAtWrite: number): number {
    const verdictRequests = Math.max(wantedVerdictRequests, allowedAtWrite * minVerdictFraction);
    return Math.max(allowedAtWrite - verdictRequests, allowedAtWrite * minMoveFraction);
}

/** Returns what the exposure budget will allow at a later time if the rate stays the same. */
function allowanceAt({ age, allowed, bounds, rate }: PlanInputs, later: number): number {
    const expectedRequests = Math.max(0, later - age) * rate / second;
    return allowed + exposureSafetyFactor * bounds.exposedShare * expectedRequests;
}
