/**
 * Slow start: bounds what a cold server gets from all boxes together.
 *
 * Owns nothing; relies on `shared-rate` for the part of this box.
 */

import type { BackendServerId, BoxId } from "@chalkdale/kernel";
import { createSharedRate, type SharedRate } from "../limits/shared-rate.js";

/**
 * Boxes that may send to one cold server. All boxes of a region share the work of a server, but each sender may exceed the
 * rate by one request; half of the rate and 5 requests more are borne.
 */
const mostSenders = 4;
/** Part of the rate that is used; the rest is for boxes that don't yet agree on the senders. */
const usedPart = 0.9;

export interface SlowStartOptions {
    readonly self: BoxId;
    readonly server: BackendServerId;
    /** Boxes among which the senders are chosen; one that is not among them sends nothing. */
    readonly boxes: () => readonly BoxId[];
    /** Requests a second that the server can serve, from all boxes together. */
    readonly rate: () => number;
}

/** Creates this box's part in the slow start of one server. */
export function createSlowStart({ boxes, rate, self, server }: SlowStartOptions): SharedRate {
    return createSharedRate({
        self,
        subject: server,
        boxes,
        rate,
        maxHolders: () => mostSenders,
        usedFraction: usedPart,
        savedFraction: 0,
        firstRequest: "atOnce",
    });
}
