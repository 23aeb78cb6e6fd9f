/**
 * Slow start: bounds what a cold server gets from all boxes together, without
 * messages between them.
 *
 * A few boxes, the best by rendezvous hashing for that server, may send to it;
 * each has an equal part of the rate and saves up at most one request. So in
 * any second all boxes together send at most the rate and one more for each sender.
 *
 * Owns the time of this box's next request to the server; relies on the members
 * that all boxes know.
 */

import { type BackendServerId, type BoxId, hashText, type Milliseconds } from "@chalkdale/kernel";
import { rendezvousScore } from "../choose/rendezvous.js";

/**
 * Boxes that may send to one cold server. All boxes of a region share the work of a server, but each sender may exceed the
 * rate by one request; half of the rate and 5 requests more are borne.
 */
const mostSenders = 4;
/** Part of the rate that is used; the rest is for boxes that don't yet agree on the senders. */
const usedPartOfRate = 0.9;
/** Milliseconds of a second, the unit of the rate. */
const second = 1000;

/** Slow start of one server as one box takes part in it. */
export interface SlowStart {
    /** True if a request may be sent now; it doesn't count as sent. */
    readonly allows: (at: Milliseconds) => boolean;
    readonly onSent: (at: Milliseconds) => void;
}

export interface SlowStartOptions {
    readonly self: BoxId;
    readonly server: BackendServerId;
    /** Boxes among which the senders are chosen; one that is not among them sends nothing. */
    readonly boxes: () => readonly BoxId[];
    /** Requests a second that the server can serve, from all boxes together. */
    readonly rate: () => number;
}

/** Creates the slow start; nothing is saved up at first. */
export function createSlowStart(options: SlowStartOptions): SlowStart {
    const serverHash = hashText(options.server);
    let nextAt: number | undefined;

    return {
        allows(at) {
            const interval = sendInterval();
            if (interval === undefined) {
                return false;
            }
            nextAt ??= at;
            return at >= nextAt;
        },
        onSent(at) {
            nextAt = Math.max(nextAt ?? at, at) + (sendInterval() ?? second);
        },
    };

    /** Milliseconds between two requests of this box, or undefined if it may send none. */
    function sendInterval(): number | undefined {
        const boxes = options.boxes();
        const rate = options.rate();
        if (rate <= 0 || !boxes.includes(options.self)) {
            return undefined;
        }
        const own = rendezvousScore(serverHash, hashText(options.self), 1);
        const better = boxes.filter(box => rendezvousScore(serverHash, hashText(box), 1) > own).length;
        const senders = Math.min(mostSenders, Math.max(1, boxes.length));
        return better < senders ? second * senders / (rate * usedPartOfRate) : undefined;
    }
}
