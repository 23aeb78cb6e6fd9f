/**
 * Slow start: bounds the rate of requests that a cold server gets from all boxes together.
 *
 * Owns nothing; relies on `shared-rate` for the share of this box.
 */

import type { BackendServerId, BoxId } from "@chalkdale/kernel";
import { createSharedRate, type SharedRate } from "../limits/shared-rate.js";

/**
 * Largest number of boxes that send to one cold server. Once it is warm, all boxes of a region send to it; while it is
 * cold, each sender may exceed the rate by one request, and servers tolerate half of the rate plus 5 requests above it.
 */
const maxSenders = 4;
/** Fraction of the rate that is used; the rest covers boxes that don't agree on the senders yet. */
const rateFraction = 0.9;

export interface SlowStartOptions {
    readonly self: BoxId;
    readonly server: BackendServerId;
    /** Boxes among which the senders are chosen; one that is not among them sends nothing. */
    readonly boxes: () => readonly BoxId[];
    /** Requests per second that the server can serve while cold, from all boxes together. */
    readonly rate: () => number;
    /** See `SharedRateOptions`. */
    readonly equalParts?: () => number | undefined;
}

/** Creates this box's share of the slow-start rate of one server. */
export function createSlowStart({ boxes, equalParts, rate, self, server }: SlowStartOptions): SharedRate {
    return createSharedRate({
        self,
        subject: server,
        boxes,
        equalParts,
        rate,
        maxHolders: () => maxSenders,
        usedFraction: rateFraction,
        savedFraction: 0,
    });
}
