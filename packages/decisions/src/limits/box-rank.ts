/**
 * The rank of this box among others for one subject, by rendezvous hashing: boxes with the same list get the same
 * order.
 *
 * Owns the last rank; relies on the caller to pass the same array while the list is unchanged.
 */

import { type BoxId, hashText } from "@chalkdale/kernel";
import { rendezvousScore } from "../choose/rendezvous.js";

/** Whose rank to compute, and for what. */
export interface BoxRankOptions {
    readonly self: BoxId;
    /** What the boxes are ranked for; each subject has its own order. */
    readonly subject: string;
}

/** Returns a function that computes the rank, from 0; undefined if this box is not in the list. */
export function createBoxRank({ self, subject }: BoxRankOptions): (boxes: readonly BoxId[]) => number | undefined {
    const subjectHash = hashText(subject);
    let cached: { readonly boxes: readonly BoxId[]; readonly rank: number | undefined; } | undefined;

    // Called for each choice of a server, so the rank is computed again only for another list.
    return function rankAmong(boxes) {
        if (cached?.boxes !== boxes) {
            cached = { boxes, rank: boxes.includes(self) ? countHigherRanked(boxes) : undefined };
        }
        return cached.rank;
    };

    function countHigherRanked(boxes: readonly BoxId[]): number {
        const ownScore = scoreOf(self);
        return boxes.filter(box => scoreOf(box) > ownScore).length;
    }

    function scoreOf(box: BoxId): number {
        return rendezvousScore(subjectHash, hashText(box), 1);
    }
}
