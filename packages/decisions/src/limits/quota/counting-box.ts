/**
 * Which boxes count customers' requests, and which of them counts for a customer:
 * both by rendezvous hashing, so that every box finds the same ones as long as
 * boxes know each other.
 *
 * A box that suddenly knows less than half of the boxes that it knew is more
 * likely cut off than one of a few that are left. Then nobody new counts: leases
 * go on for as long as they hold, and the quota is not given out twice.
 *
 * Owns the most boxes of the last seconds; relies on the members.
 */

import { type BoxId, type CustomerId, hashText, type Milliseconds } from "@chalkdale/kernel";
import { rendezvousScore } from "../../choose/rendezvous.js";
import { leaseUsed } from "./quota-messages.js";

/** Finds the boxes that count. */
export interface CountingBoxes {
    /** The boxes that count, of those that callers are named; none while this box may be cut off. */
    readonly among: (boxes: readonly BoxId[], at: Milliseconds) => readonly BoxId[];
    /** Boxes that may admit requests, whether this box reaches them or not. */
    readonly boxCount: (known: number, at: Milliseconds) => number;
}

/** Hash by which the boxes that count are chosen. */
const countersHash = hashText("quota counters");
/** Part of the most boxes below which a box may be cut off. A region of three may be lost, and with it a third. Not measured. */
const leastKnownPart = 0.5;

/** Creates the search of one box. */
export function createCountingBoxes(): CountingBoxes {
    let most = { count: 0, at: 0 };

    return {
        among(boxes, at) {
            if (boxes.length < mostKnown(boxes.length, at) * leastKnownPart) {
                return [];
            }
            // Of N boxes the root of N count: each box sends so many messages a round, and each that counts takes as many more.
            return rank(countersHash, boxes).slice(0, Math.ceil(Math.sqrt(boxes.length)));
        },
        boxCount: (known, at) => Math.max(1, mostKnown(known, at)),
    };

    /** The most of the time for which leases hold. */
    function mostKnown(count: number, at: Milliseconds): number {
        if (count >= most.count || at - most.at > leaseUsed) {
            most = { count, at };
        }
        return most.count;
    }
}

/** Returns the box that counts for a customer; undefined if none does. */
export function countingBox(customer: CustomerId, counters: readonly BoxId[]): BoxId | undefined {
    return rank(hashText(customer), counters).at(0);
}

function rank(hash: number, boxes: readonly BoxId[]): readonly BoxId[] {
    const scores = new Map(boxes.map(box => [box, rendezvousScore(hash, hashText(box), 1)]));
    return [...boxes].sort((a, b) => scores.get(b)! - scores.get(a)!);
}
