/**
 * The place of this box among others for one subject, by rendezvous hashing: all
 * boxes that know the same others find the same order.
 *
 * Owns the latest place; relies on a list that stays the same array while it is the same.
 */

import { type BoxId, hashText } from "@chalkdale/kernel";
import { rendezvousScore } from "../choose/rendezvous.js";

export interface BoxRankOptions {
    readonly self: BoxId;
    /** What the order is for; those of two subjects differ. */
    readonly subject: string;
}

/** Returns the function that gives the place, from 0; undefined for a box that is not in the list. */
export function createBoxRank({ self, subject }: BoxRankOptions): (boxes: readonly BoxId[]) => number | undefined {
    const subjectHash = hashText(subject);
    let latest: { readonly boxes: readonly BoxId[]; readonly rank: number | undefined; } | undefined;

    // Asked for with each choice of a server, so computed anew for another list only.
    return function rankAmong(boxes) {
        if (latest?.boxes !== boxes) {
            latest = { boxes, rank: boxes.includes(self) ? countBetter(boxes) : undefined };
        }
        return latest.rank;
    };

    function countBetter(boxes: readonly BoxId[]): number {
        const own = scoreOf(self);
        return boxes.filter(box => scoreOf(box) > own).length;
    }

    function scoreOf(box: BoxId): number {
        return rendezvousScore(subjectHash, hashText(box), 1);
    }
}
