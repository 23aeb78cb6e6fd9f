/**
 * This box's part of the rate that a server names.
 *
 * The whole rate is used. In any span of 4 s all boxes together send little more than four times the rate and one and
 * a half requests for each holder, where six times the rate and 5 requests are borne. So more boxes
 * hold a part of a greater rate, and enough room is left for boxes that do not agree on the holders for a while.
 *
 * Owns nothing; relies on `shared-rate`.
 */

import type { BackendServerId, BoxId } from "@chalkdale/kernel";
import { createSharedRate, type SharedRate } from "../limits/shared-rate.js";

/** Boxes that hold a part of the smallest rates. */
const fewestHolders = 3;
/** Requests come at times of their own: without it a box in three would lose what it earns until the next one comes. */
const savedPart = 0.5;
/** Further boxes for each request a second. */
const holdersPerRate = 1;
/**
 * Requests a second that are sent to a server which takes fewer, or none: it tells only in its answers that the limit has ended.
 * One box sends them.
 */
const askingRate = 0.25;

export interface LimitShareOptions {
    readonly self: BoxId;
    readonly server: BackendServerId;
    /** Boxes among which the holders are chosen; one that is not among them sends nothing. */
    readonly boxes: () => readonly BoxId[];
}

/** Creates the part of a rate that a server has just named; `rate` gives it in requests a second, as it is now. */
export function createLimitShare({ boxes, self, server }: LimitShareOptions, rate: () => number): SharedRate {
    return createSharedRate({
        self,
        subject: server,
        boxes,
        rate: () => Math.max(askingRate, rate()),
        mostHolders: used => used <= askingRate ? 1 : fewestHolders + Math.floor(used * holdersPerRate),
        usedPart: 1,
        savedPart,
        firstRequest: "earned",
    });
}
