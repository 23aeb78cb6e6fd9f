/**
 * Which boxes the store does not serve while it may serve others: those whose own
 * call was refused, reset, or is overdue, as each of them reports with its digests.
 * Other boxes of the region then call the store in their place.
 *
 * Owns the latest status of each box and when it expires.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";

/**
 * Milliseconds after the end of a watch's wait at which the call is overdue; the store answers in 4 ms, a message
 * between regions takes 35 ms.
 */
export const watchOverdueAfter = 300;
/** Milliseconds after which a list call is overdue; a list may be large. */
export const listOverdueAfter = 1000;
/**
 * Time for which a box regards itself as unserved, in multiples of the maximum propagation delay. Then the first box of
 * a region tries again, which costs one call.
 */
const ownStatusLifetime = 2;
/**
 * The same for a status that another box reported; that box reports it again when the store fails to serve it again.
 */
const peerStatusLifetime = 3;
/**
 * Number of unserved boxes in a region that report it to the whole region at once; later ones are noticed by the age of
 * the copies.
 */
export const maxUnservedBroadcasts = 4;

/** The boxes that the store does not serve, as far as this box knows. */
export interface UnservedBoxes {
    /** The store did not serve this box. True unless that was known already. */
    readonly onUnserved: (at: Milliseconds) => boolean;
    /** The store answered this box. */
    readonly onServed: () => void;
    /** Another box reported whether it is unserved. True if that changes its status. */
    readonly onPeerReport: (box: BoxId, isUnserved: boolean, at: Milliseconds) => boolean;
    /** True if the box is unserved. */
    readonly has: (box: BoxId, at: Milliseconds) => boolean;
}

/** Creates an empty set. `maxPropagationDelay`: time in which a change must be in force on all boxes. */
export function createUnservedBoxes(self: BoxId, maxPropagationDelay: Milliseconds): UnservedBoxes {
    const expiresAt = new Map<BoxId, number>();
    const has = (box: BoxId, at: Milliseconds) => (expiresAt.get(box) ?? -Infinity) > at;

    return {
        has,
        onUnserved(at) {
            const isNew = !has(self, at);
            expiresAt.set(self, at + ownStatusLifetime * maxPropagationDelay);
            return isNew;
        },
        onServed: () => void expiresAt.delete(self),
        onPeerReport(box, isUnserved, at) {
            const isChanged = has(box, at) !== isUnserved;
            if (isUnserved) {
                expiresAt.set(box, at + peerStatusLifetime * maxPropagationDelay);
            }
            else {
                expiresAt.delete(box);
            }
            return isChanged;
        },
    };
}
