/**
 * Which box counts for a customer: the first of its ranking by rendezvous
 * hashing, among a few of the boxes that callers are named. Every box finds the
 * same one as long as boxes know each other.
 *
 * Owns no state.
 */

import { type BoxId, type CustomerId, hashText } from "@chalkdale/kernel";
import { rendezvousScore } from "../../choose/rendezvous.js";

/** Hash by which the boxes that count at all are chosen. */
const countersHash = hashText("quota counters");

/**
 * Returns the box, or undefined if there are none. Of N boxes the root of N count, so that each box sends as many messages a
 * round, and each counting box takes so many times as many.
 */
export function countingBox(customer: CustomerId, boxes: readonly BoxId[]): BoxId | undefined {
    const counters = rank(countersHash, boxes).slice(0, Math.ceil(Math.sqrt(boxes.length)));
    return rank(hashText(customer), counters).at(0);
}

function rank(hash: number, boxes: readonly BoxId[]): readonly BoxId[] {
    const scores = new Map(boxes.map(box => [box, rendezvousScore(hash, hashText(box), 1)]));
    return [...boxes].sort((a, b) => scores.get(b)! - scores.get(a)!);
}
