/**
 * Emulates the retry budgets of a fleet: requests that all ask for retries, boxes that are partitioned from each other,
 * are killed and start again, and the bound on the retries of all of them together.
 */

import {
    availabilityZoneId,
    boxId,
    createSeededRandom,
    milliseconds,
    type RandomSource,
    regionId,
    serviceId,
} from "@chalkdale/kernel";
import { createSharedLimits, type Membership, type MemberStatus, type SharedLimits } from "../src/index.js";
import { createMember } from "./member.js";

/** What happens to the boxes of a fleet; times are in milliseconds. */
export interface RetryFleetOptions {
    readonly boxes: number;
    readonly requestsPerSecond: number;
    readonly allowance: number;
    readonly duration: number;
    /** Retries are asked for from this time on. */
    readonly failingFrom: number;
    /** Times from and to which no box hears from any other one. */
    readonly apart?: readonly [from: number, to: number];
    /** Times at which half of the boxes, drawn anew, are killed; they are back after `downTime`. */
    readonly kills?: readonly number[];
    /** Requests per second at a time, in place of `requestsPerSecond`. */
    readonly rateAt?: (at: number) => number;
    /** Times from and to which the store answers no box. */
    readonly storeAway?: readonly [from: number, to: number];
    /** Fraction of the boxes that the store returns to a box, drawn anew for each life. */
    readonly recordedFraction?: number;
}

/** The retries of a fleet against the bound on them. */
export interface RetryFleetResult {
    /** Largest number of retries in a window beyond what the bound allows for it; negative if it holds. */
    readonly worstExcess: number;
    /** Fraction of what the bound allows that was used, in the first whole window after `failingFrom`. */
    readonly usedShare: number;
    /** Lives of the boxes that used retries. */
    readonly lives: number;
}

interface EmulatedLife {
    readonly limits: SharedLimits;
    readonly startedAt: number;
    hasReadRecords: boolean;
}

const retryRatio = 0.2;
const retryWindow = 10_000;
/** Milliseconds between two steps. */
const step = 10;
/** Milliseconds for which a killed box is down, and then until it hears from others. */
const downTime = 500;
const joinTime = 300;
/** Milliseconds from the start of a box to when it has read the store's records, if the store answers. */
const recordsReadTime = 400;
/** Milliseconds from the first box that a started box hears from to the last one. */
const hearingTime = 1000;
/** Milliseconds without an answer after which a box counts as failed. */
const failureTimeout = 2100;
/** Retries that each request asks for. */
const retriesPerRequest = 2;
const service = serviceId("profiles");
const regions = ["north", "east", "south"];

/** Runs the fleet. The same options give the same result. */
export function runRetryFleet(options: RetryFleetOptions): RetryFleetResult {
    const random = createSeededRandom(options.boxes * 31 + options.allowance);
    let now = 0;
    const records = Array.from({ length: options.boxes }, (_, index) =>
        createMember(`box-${index}`, {
            region: regionId(regions[index % regions.length]),
            zone: availabilityZoneId(`zone-${index % 6}`),
        }));
    const downUntil = records.map(() => 0);
    const diedAt = records.map(() => -Infinity);
    const lives = records.map((_, index) => startLife(index));
    const usedLives = new Set<EmulatedLife>();
    const requestTimes: number[] = [];
    const retryTimes: number[] = [];
    const kills = [...options.kills ?? []];
    let due = 0;
    let visibleAt: { readonly now: number; readonly members: readonly MemberStatus[]; } = { now: -1, members: [] };
    for (; now < options.duration; now += step) {
        if (kills.length > 0 && now >= kills[0]) {
            kills.shift();
            kill();
        }
        restartDueBoxes();
        readRecords();
        due += (options.rateAt?.(now) ?? options.requestsPerSecond) * step / 1000;
        for (; due >= 1; due--) {
            sendRequest();
        }
    }
    return {
        worstExcess: worstExcessOf(requestTimes, retryTimes, options.allowance),
        usedShare: usedShareOf(requestTimes, retryTimes, options),
        lives: usedLives.size,
    };

    function sendRequest(): void {
        requestTimes.push(now);
        const index = Math.floor(random() * records.length);
        if (now < downUntil[index]) {
            return;
        }
        const life = lives[index];
        const budget = life.limits.retryBudgetOf(service);
        budget.onRequest(milliseconds(now));
        for (let retry = 0; now >= options.failingFrom && retry < retriesPerRequest; retry++) {
            if (!budget.tryConsume(milliseconds(now), 0)) {
                return;
            }
            usedLives.add(life);
            retryTimes.push(now);
        }
    }

    function kill(): void {
        for (const index of records.keys()) {
            if (random() < 0.5) {
                diedAt[index] = now;
                downUntil[index] = now + downTime;
            }
        }
    }

    function restartDueBoxes(): void {
        for (const index of records.keys()) {
            if (diedAt[index] > lives[index].startedAt && now >= downUntil[index]) {
                lives[index] = startLife(index);
            }
        }
    }

    function startLife(index: number): EmulatedLife {
        const startedAt = now;
        const limits = createSharedLimits({
            clock: () => milliseconds(now),
            self: boxId(records[index].box),
            membership: membershipOf(index, startedAt),
            retries: { ratio: retryRatio, window: milliseconds(retryWindow), allowance: options.allowance },
            random,
            serverConnectionLimit: () => undefined,
            onAdvertisedChanged: () => undefined,
        });
        return { limits, startedAt, hasReadRecords: false };
    }

    function readRecords(): void {
        const [awayFrom, awayTo] = options.storeAway ?? [Infinity, Infinity];
        if (now >= awayFrom && now < awayTo) {
            return;
        }
        for (const [index, life] of lives.entries()) {
            if (!life.hasReadRecords && now >= downUntil[index] && now >= life.startedAt + recordsReadTime) {
                life.hasReadRecords = true;
                const recorded = records.filter(() => random() < (options.recordedFraction ?? 1));
                life.limits.onBoxesRecorded(recorded.map(({ box }) => box));
            }
        }
    }

    /** What a life of a box knows of the others. */
    function membershipOf(index: number, startedAt: number): Membership {
        const own = records[index];
        const others = () => {
            const visibleOthers = isAlone(startedAt) ? [] : visible().filter(({ record }) => record !== own);
            const heardFraction = startedAt === 0 ? 1 : (now - startedAt - joinTime) / hearingTime;
            return visibleOthers.slice(0, Math.max(1, Math.ceil(visibleOthers.length * heardFraction)));
        };
        const known: Membership["known"] = () => others();
        const alive = () => [own, ...others().map(({ record }) => record)];
        return { alive, inService: alive, known, ownRecord: () => own } as Partial<Membership> as Membership;
    }

    function isAlone(startedAt: number): boolean {
        if (startedAt > 0 && now < startedAt + joinTime) {
            return true;
        }
        const [from, to] = options.apart ?? [Infinity, Infinity];
        return now < to && (now >= from + failureTimeout || startedAt >= from);
    }

    /** Boxes that count as alive at those that hear from others; computed once per step. */
    function visible(): readonly MemberStatus[] {
        if (visibleAt.now !== now) {
            const isSeen = (index: number) => now >= downUntil[index] || now < diedAt[index] + failureTimeout;
            const seen = records.filter((_, index) => isSeen(index));
            visibleAt = { now, members: seen.map(record => ({ record, heardAgo: 0, suspectedFor: undefined })) };
        }
        return visibleAt.members;
    }
}

function worstExcessOf(requests: readonly number[], retries: readonly number[], allowance: number): number {
    let worst = -Infinity;
    for (const end of retries) {
        worst = Math.max(worst, countIn(retries, end) - allowedIn(requests, end, allowance));
    }
    return worst;
}

function usedShareOf(requests: readonly number[], retries: readonly number[], options: RetryFleetOptions): number {
    const end = options.failingFrom + retryWindow;
    return countIn(retries, end) / allowedIn(requests, end, options.allowance);
}

/**
 * Retries that the bound allows in the window up to `end`: by the requests of that window, of the one before it, or of
 * the one half a window before it, whichever has the most.
 */
function allowedIn(requests: readonly number[], end: number, allowance: number): number {
    const most = Math.max(
        countIn(requests, end),
        countIn(requests, end - retryWindow / 2),
        countIn(requests, end - retryWindow),
    );
    return most * retryRatio + allowance;
}

/** Number of times, which are in order, in the window up to and including `end`. */
function countIn(times: readonly number[], end: number): number {
    return firstAfter(times, end) - firstAfter(times, end - retryWindow);
}

/** Index of the first time after `limit`. */
function firstAfter(times: readonly number[], limit: number): number {
    let low = 0;
    let high = times.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (times[middle] <= limit) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/** Requests per second that rise and fall, and stop at once now and then. */
export function unsteadyRate(mean: number, seed: number): (at: number) => number {
    const random: RandomSource = createSeededRandom(seed);
    const factors = Array.from({ length: 100 }, () => random() < 0.2 ? 0.05 : 2 * random());
    return at => mean * factors[Math.floor(at / 1500) % factors.length];
}
