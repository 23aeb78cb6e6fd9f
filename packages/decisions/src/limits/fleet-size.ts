/**
 * Counts the boxes among which a common limit is divided. A box that can't be seen may be partitioned and still use its
 * part, so the count is that of all boxes known to exist, and not of those that answer now.
 *
 * A box is no longer counted once it has said that it leaves, or once it has been silent for long and this box sees
 * more than half of the boxes that it counts: of two groups that don't see each other, at most one takes over the part
 * of the other.
 *
 * Owns the set of counted boxes; relies on the membership and on the store's records of boxes.
 */

import type { BoxId, Clock, Milliseconds } from "@chalkdale/kernel";
import { milliseconds } from "@chalkdale/kernel";
import { gossipToFailedTime } from "../membership/membership-times.js";
import type { Membership } from "../membership/membership.js";
import { createTimedCache } from "./timed-cache.js";

/** The number of boxes of a fleet, as one box knows it. */
export interface FleetSize {
    /** The store's records of boxes were read; they may include boxes that have ended. */
    readonly onRecorded: (boxes: readonly BoxId[]) => void;
    /**
     * Number of boxes that may be running, this one included; undefined for a box that has neither heard from another
     * box nor read the records.
     */
    readonly count: () => number | undefined;
    /** The same, but undefined until the records were read: what a box hears from others may be a part of the fleet. */
    readonly recordedCount: () => number | undefined;
    /**
     * True if the records were read and this box sees more than half of the counted boxes. Of boxes that don't see each
     * other, at most one group is a majority.
     */
    readonly isInMajority: () => boolean;
}

export interface FleetSizeOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly membership: Pick<Membership, "alive" | "known">;
}

/** Milliseconds for which a box that announced its shutdown still counts: it may retry requests until it ends. */
const leavingPeriod = 20_000;
/** Milliseconds between two readings of the membership. */
const readInterval = milliseconds(1000);

/** Creates the count of a box that has just started. */
export function createFleetSize({ clock, membership, self }: FleetSizeOptions): FleetSize {
    /** When each counted box other than this one was last heard from or read from the store. */
    const countedBoxes = new Map<BoxId, number>();
    let hasReadRecords = false;
    const readMembership = createTimedCache(clock, readInterval, () => updateCountedBoxes(clock()));

    return {
        onRecorded(boxes) {
            hasReadRecords = true;
            boxes.filter(box => box !== self && !countedBoxes.has(box)).forEach(box => countedBoxes.set(box, clock()));
        },
        count() {
            readMembership();
            return countedBoxes.size > 0 || hasReadRecords ? countedBoxes.size + 1 : undefined;
        },
        recordedCount() {
            readMembership();
            return hasReadRecords ? countedBoxes.size + 1 : undefined;
        },
        isInMajority() {
            readMembership();
            return hasReadRecords && seesMajority(clock());
        },
    };

    function updateCountedBoxes(at: Milliseconds): void {
        for (const { heardAgo, record } of membership.known(at)) {
            if (record.leaving && heardAgo > leavingPeriod) {
                countedBoxes.delete(record.box);
            }
            else if (heardAgo <= gossipToFailedTime) {
                countedBoxes.set(record.box, at - heardAgo);
            }
        }
        if (seesMajority(at)) {
            forgetSilentBoxes(at);
        }
    }

    function seesMajority(at: Milliseconds): boolean {
        return membership.alive(at).length * 2 > countedBoxes.size + 1;
    }

    function forgetSilentBoxes(at: Milliseconds): void {
        for (const [box, heardAt] of countedBoxes) {
            if (at - heardAt > gossipToFailedTime) {
                countedBoxes.delete(box);
            }
        }
    }
}
