/**
 * Which boxes the store turns away while it may serve others: those whose own
 * call was refused, reset, or is overdue, as each of them says with its digests.
 * Boxes of the region that were served so far, or have not asked, call in their place.
 *
 * Owns what was told of each box, and for how long it holds.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";

/** Milliseconds beyond the wait of a watch after which a call is overdue; the store answers in 4 ms, a way between regions is 35 ms. */
export const watchOverdueAfter = 300;
/** The same for a list, which may be large. */
export const listOverdueAfter = 1000;
/**
 * Bounds on changes for which a box takes itself as turned away: the first of a region then tries again, which costs one call.
 */
const ownFor = 2;
/** The same for what another box told, which tells it anew when it was turned away again. */
const toldFor = 3;
/** Boxes of a region that tell all others of it at once; later ones are found by the age of the copies. */
export const maxUnservedBroadcasts = 4;

/** The boxes that are turned away, as far as this box knows. */
export interface UnservedBoxes {
    /** The store turned this box away. True if it had not before. */
    readonly onUnserved: (at: Milliseconds) => boolean;
    /** The store answered this box. */
    readonly onServed: () => void;
    /** Another box told whether it is turned away. True if that is news. */
    readonly onPeerReport: (box: BoxId, isTurnedAway: boolean, at: Milliseconds) => boolean;
    readonly has: (box: BoxId, at: Milliseconds) => boolean;
}

/** Creates the set, empty. `changeBound`: time in which a change must be in force. */
export function createUnservedBoxes(self: BoxId, changeBound: Milliseconds): UnservedBoxes {
    const until = new Map<BoxId, number>();
    const has = (box: BoxId, at: Milliseconds) => (until.get(box) ?? -Infinity) > at;

    return {
        has,
        onUnserved(at) {
            const isNew = !has(self, at);
            until.set(self, at + ownFor * changeBound);
            return isNew;
        },
        onServed: () => void until.delete(self),
        onPeerReport(box, isTurnedAway, at) {
            const isNews = has(box, at) !== isTurnedAway;
            if (isTurnedAway) {
                until.set(box, at + toldFor * changeBound);
            }
            else {
                until.delete(box);
            }
            return isNews;
        },
    };
}
