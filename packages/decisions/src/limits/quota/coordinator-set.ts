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

import { type BoxId, type CustomerId, hashText, type Milliseconds, type ServiceId } from "@chalkdale/kernel";
import { rendezvousScore } from "../../choose/rendezvous.js";
import { leaseLifetime } from "./quota-messages.js";

/** What a box knows of the others. */
interface KnownBoxes {
    /** Boxes that callers are named. */
    readonly named: readonly BoxId[];
    /** Boxes that run, named or not. How many are named changes with the load, so it does not show who is cut off. */
    readonly aliveCount: number;
}

/** Finds the boxes that count. */
export interface CoordinatorSet {
    /** Takes what is known now; due some times a second. */
    readonly update: (known: KnownBoxes, at: Milliseconds) => void;
    /** The boxes that count; none while this box may be cut off. */
    readonly current: () => readonly BoxId[];
    /** Milliseconds for which the same boxes have counted, two or more of them known; 0 while this box knows only itself. */
    readonly unchangedFor: (at: Milliseconds) => number;
    /** Boxes that may admit requests, whether this box reaches them or not; 1 at least. */
    readonly boxCount: () => number;
}

/** Boxes that count for one customer at the same time. */
const countersAtOnce = 2;
/** Hash by which the boxes that count are chosen. */
const countersHash = hashText("quota counters");
/** Part of the most boxes below which a box may be cut off. A region of three may be lost, and with it a third. */
const leastKnownPart = 0.5;

/** Creates the search of one box that knows none yet. */
export function createCoordinatorSet(): CoordinatorSet {
    let most = { count: 0, at: 0 };
    let counters: readonly BoxId[] = [];
    let namedCount = 1;
    let changedAt: Milliseconds | undefined;

    return {
        update({ aliveCount, named }, at) {
            if (aliveCount < mostAlive(aliveCount, at) * leastKnownPart) {
                counters = [];
                return;
            }
            // Of N boxes the root of N count: each box sends so many messages a round, and each that counts takes as many more.
            setCounters(rank(countersHash, named).slice(0, Math.ceil(Math.sqrt(named.length))), at);
            namedCount = Math.max(1, named.length);
        },
        current: () => counters,
        unchangedFor: at => namedCount < 2 || changedAt === undefined ? 0 : at - changedAt,
        boxCount: () => namedCount,
    };

    function setCounters(next: readonly BoxId[], at: Milliseconds): void {
        if (changedAt === undefined || next.join() !== counters.join()) {
            changedAt = at;
        }
        counters = next;
    }

    /** The most of the time for which leases hold. */
    function mostAlive(count: number, at: Milliseconds): number {
        if (count >= most.count || at - most.at > leaseLifetime) {
            most = { count, at };
        }
        return most.count;
    }
}

/** Returns the box that counts for a customer, or decides on a service's roll-outs; undefined if none does. */
export function coordinatorFor(counted: CustomerId | ServiceId, counters: readonly BoxId[]): BoxId | undefined {
    return rank(hashText(counted), counters).at(0);
}

/**
 * Returns the boxes that count for a customer at the same time, the one whose leases are used first: each hears all reports, so that the second
 * goes on where the first stands still, and nobody waits for it.
 */
export function coordinatorPairFor(customer: CustomerId, counters: readonly BoxId[]): readonly BoxId[] {
    return rank(hashText(customer), counters).slice(0, countersAtOnce);
}

function rank(hash: number, boxes: readonly BoxId[]): readonly BoxId[] {
    const scores = new Map(boxes.map(box => [box, rendezvousScore(hash, hashText(box), 1)]));
    return [...boxes].sort((a, b) => scores.get(b)! - scores.get(a)!);
}
