/**
 * A rate that all boxes keep together without messages: of requests to a cold server, or to one that reports a rate
 * limit.
 *
 * A few holders, selected by rendezvous hashing for the subject of the rate, have an equal share each; the other boxes
 * send nothing. A box saves up little more than one request, so all boxes together send little more than the rate and
 * one request per holder.
 *
 * Owns the time of this box's next request; relies on the boxes' agreement on the list of boxes.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import { createBoxRank } from "./box-rank.js";

/** One box's share of a rate. */
export interface SharedRate {
    /** True if a request may be sent now. The request is not counted yet. */
    readonly allows: (at: Milliseconds) => boolean;
    /**
     * Counts a request that is being sent. Called before its connection is established, so that no others are sent
     * meanwhile.
     */
    readonly onSent: (at: Milliseconds) => void;
    /** Uncounts a request that was counted and then not sent. */
    readonly onNotSent: () => void;
    /** Requests a second that this box may send; 0 if it is no holder. */
    readonly ownRate: () => number;
}

/** The rate, and the boxes that share it. */
export interface SharedRateOptions {
    readonly self: BoxId;
    /** What the rate applies to, such as a server. Each subject has its own ranking of boxes, so the holders differ. */
    readonly subject: string;
    /**
     * Boxes from which the holders are selected; any other box sends nothing. Must be the same array while the boxes
     * are unchanged.
     */
    readonly boxes: () => readonly BoxId[];
    /** Requests a second, from all boxes together. */
    readonly rate: () => number;
    /** Maximum number of holders for a rate. */
    readonly maxHolders: (rate: number) => number;
    /** Fraction of the rate that is used. The remainder is for boxes that don't agree on the holders yet. */
    readonly usedFraction: number;
    /** Fraction of a request that a box saves up, beyond a whole one, while it has nothing to send. */
    readonly savedFraction: number;
    /** Whether a box that becomes a holder may send at once, or has to earn its first request. */
    readonly firstRequest: "atOnce" | "earned";
}

/** Milliseconds of its share that a box saves up, if that is more than one request: requests don't arrive evenly. */
const savedTime = 200;
/** Milliseconds a second, since rates are requests a second. */
const second = 1000;

/** A holder's share. */
interface HolderShare {
    /** Rank of the box among the holders, from 0. */
    readonly rank: number;
    readonly holders: number;
    /** Milliseconds between two requests of this box. */
    readonly interval: number;
}

/** Creates the share of a box. */
export function createSharedRate(options: SharedRateOptions): SharedRate {
    const ownRank = createBoxRank(options);
    let nextAt: number | undefined;

    return {
        allows(at) {
            const share = ownShare();
            if (share === undefined) {
                nextAt = options.firstRequest === "atOnce" ? nextAt : undefined;
                return false;
            }
            nextAt = Math.min(nextAt ?? firstRequestAt(share, at), at + share.interval);
            return at >= nextAt;
        },
        onSent(at) {
            const interval = ownShare()?.interval ?? second;
            const saved = Math.max(interval * options.savedFraction, savedTime - interval);
            nextAt = Math.max(nextAt ?? at, at - saved) + interval;
        },
        onNotSent() {
            if (nextAt !== undefined) {
                nextAt -= ownShare()?.interval ?? second;
            }
        },
        ownRate() {
            const share = ownShare();
            return share === undefined ? 0 : second / share.interval;
        },
    };

    /**
     * Returns the time of the first request. Holders earn it one after the other; all at once they would exceed a low
     * rate.
     */
    function firstRequestAt({ holders, interval, rank }: HolderShare, at: Milliseconds): number {
        return options.firstRequest === "atOnce" ? at : at + interval * (rank + 1) / holders;
    }

    /** Returns this box's share; undefined if it may send nothing. */
    function ownShare(): HolderShare | undefined {
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
