/**
 * A rate that all boxes keep together without messages: requests to a cold server,
 * or to one that names a limit.
 *
 * A few boxes hold a part each, the best by rendezvous hashing for what is bounded; the
 * others send nothing. Parts are equal, and each box saves up little more than one request, so all boxes together
 * send little more than the rate and one request for each holder.
 *
 * Owns the time of this box's next request; relies on the members that all boxes know.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import { createBoxRank } from "./box-rank.js";

/** One box's part of a rate. */
export interface SharedRate {
    /** True if a request may be sent now; it doesn't count as sent. */
    readonly allows: (at: Milliseconds) => boolean;
    /** A request is sent, or about to be: counted before its connection is up, so that others don't pass meanwhile. */
    readonly onSent: (at: Milliseconds) => void;
    /** A request that was counted was not sent. */
    readonly onNotSent: () => void;
}

export interface SharedRateOptions {
    readonly self: BoxId;
    /** What the rate is of; the holders of two rates are not the same boxes. */
    readonly subject: string;
    /** Boxes among which the holders are chosen; one that is not among them sends nothing. The same array while they are the same. */
    readonly boxes: () => readonly BoxId[];
    /** Requests a second, from all boxes together. */
    readonly rate: () => number;
    /** Boxes that hold a part of so great a rate, at most. */
    readonly maxHolders: (rate: number) => number;
    /** Part of the rate that is used; the rest is for boxes that don't yet agree on the holders. */
    readonly usedFraction: number;
    /** Part of a request that a box saves up beside a whole one: what it earned while nobody asked. */
    readonly savedFraction: number;
    /** Whether a box that comes to hold a part may send at once, or has to earn its first request. */
    readonly firstRequest: "atOnce" | "earned";
}

/** Milliseconds of its part that a box saves up, if they come to more than one request: requests don't come evenly. */
const savedTime = 200;
/** Milliseconds of a second, the unit of the rate. */
const second = 1000;

/** A box's place among the holders. */
interface Part {
    /** From 0. */
    readonly rank: number;
    readonly holders: number;
    /** Milliseconds between two requests of this box. */
    readonly interval: number;
}

/** Creates the part of a box. */
export function createSharedRate(options: SharedRateOptions): SharedRate {
    const ownRank = createBoxRank(options);
    let nextAt: number | undefined;

    return {
        allows(at) {
            const part = ownPart();
            if (part === undefined) {
                nextAt = options.firstRequest === "atOnce" ? nextAt : undefined;
                return false;
            }
            nextAt = Math.min(nextAt ?? firstAt(part, at), at + part.interval);
            return at >= nextAt;
        },
        onSent(at) {
            const interval = ownPart()?.interval ?? second;
            const saved = Math.max(interval * options.savedFraction, savedTime - interval);
            nextAt = Math.max(nextAt ?? at, at - saved) + interval;
        },
        onNotSent() {
            if (nextAt !== undefined) {
                nextAt -= ownPart()?.interval ?? second;
            }
        },
    };

    /** Holders earn their first requests one after the other: all at once they would go past a small rate. */
    function firstAt({ holders, interval, rank }: Part, at: Milliseconds): number {
        return options.firstRequest === "atOnce" ? at : at + interval * (rank + 1) / holders;
    }

    /** Undefined if this box may send nothing. */
    function ownPart(): Part | undefined {
        const boxes = options.boxes();
        const rate = options.rate();
        const rank = ownRank(boxes);
        const holders = Math.min(options.maxHolders(rate), Math.max(1, boxes.length));
        if (rate <= 0 || rank === undefined || rank >= holders) {
            return undefined;
        }
        return { rank, holders, interval: second * holders / (rate * options.usedFraction) };
    }
}
