/**
 * A rate that all boxes keep together without messages: of requests to a cold server, or to one that reports a rate
 * limit.
 *
 * While a box sees most of the others, a few holders, selected by rendezvous hashing for the subject of the rate, have
 * an equal share each; the other boxes send nothing. A box saves up little more than one request, so all holders
 * together send little more than the rate and one request per holder.
 *
 * A box that does not see most of the others can't know who holds a share. It has one part of the rate among all boxes
 * that are known to exist, and an earned request expires. Boxes that are apart so send the rate together at most, and
 * half of it beside a majority that keeps the whole.
 *
 * Owns the time of this box's next request; relies on the majority's agreement on the list of boxes.
 */

import { type BoxId, hashText, type Milliseconds } from "@chalkdale/kernel";
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
    /**
     * Number of boxes that have equal parts of the rate, as far as this box knows, while it does not see most of them;
     * infinite if it does not know their number. Undefined while it sees most of them: the holders then have the rate.
     */
    readonly equalParts?: () => number | undefined;
    /** Requests a second, from all boxes together. */
    readonly rate: () => number;
    /** Maximum number of holders for a rate. */
    readonly maxHolders: (rate: number) => number;
    /** Fraction of the rate that is used. The remainder is for boxes that don't agree on the holders yet. */
    readonly usedFraction: number;
    /** Fraction of a request that a holder saves up, beyond a whole one, while it has nothing to send. */
    readonly savedFraction: number;
}

/** Milliseconds of its share that a box saves up, if that is more than one request: requests don't arrive evenly. */
const savedTime = 200;
/** Milliseconds a second, since rates are requests a second. */
const second = 1000;

/** Milliseconds in which a box with an equal part has to send an earned request; later it earns the next one. */
const earnedRequestLifetime = 300;
/** Hashes are below this number. */
const hashRange = 2 ** 32;

/** This box's share of the rate. */
type OwnShare =
    | {
        readonly kind: "holder";
        /** Milliseconds between two requests of this box. */
        readonly interval: number;
        /** Milliseconds until the first request. Holders earn it one after the other. */
        readonly firstAfter: number;
    }
    | { readonly kind: "equalPart"; readonly interval: number; readonly firstAfter: number; }
    | { readonly kind: "none"; };

/** Creates the share of a box, which has earned nothing yet. */
export function createSharedRate(options: SharedRateOptions): SharedRate {
    const ownRank = createBoxRank(options);
    /** Place of this box among others that don't see it, from 0 to 1: spreads their first requests over the interval. */
    const ownPlace = hashText(`${options.subject} ${options.self}`) / hashRange;
    let nextAt: number | undefined;

    return {
        allows(at) {
            const share = ownShare();
            switch (share.kind) {
                case "none":
                    nextAt = undefined;
                    return false;
                case "holder":
                    nextAt = Math.min(nextAt ?? at + share.firstAfter, at + share.interval);
                    return at >= nextAt;
                case "equalPart":
                    nextAt = withoutExpired(nextAt ?? at + share.firstAfter, share.interval, at);
                    return at >= nextAt;
            }
        },
        onSent(at) {
            const share = ownShare();
            const interval = intervalOf(share);
            const saved = share.kind === "equalPart"
                ? earnedRequestLifetime
                : Math.max(interval * options.savedFraction, savedTime - interval);
            nextAt = Math.max(nextAt ?? at, at - saved) + interval;
        },
        onNotSent() {
            if (nextAt !== undefined) {
                nextAt -= intervalOf(ownShare());
            }
        },
        ownRate() {
            const share = ownShare();
            return share.kind === "none" ? 0 : second / share.interval;
        },
    };

    function ownShare(): OwnShare {
        const rate = options.rate() * options.usedFraction;
        const parts = options.equalParts?.();
        if (rate <= 0 || parts === Infinity) {
            return { kind: "none" };
        }
        return parts === undefined ? holderShare(rate) : equalPart(rate, parts);
    }

    function holderShare(rate: number): OwnShare {
        const boxes = options.boxes();
        const rank = ownRank(boxes);
        const holders = Math.min(options.maxHolders(options.rate()), Math.max(1, boxes.length));
        if (rank === undefined || rank >= holders) {
            return { kind: "none" };
        }
        const interval = second * holders / rate;
        return { kind: "holder", interval, firstAfter: interval * (rank + 1) / holders };
    }

    function equalPart(rate: number, parts: number): OwnShare {
        const interval = second * parts / rate;
        return { kind: "equalPart", interval, firstAfter: interval * ownPlace };
    }
}

function intervalOf(share: OwnShare): number {
    return share.kind === "none" ? second : share.interval;
}

/** Returns the time of the first request that has not expired, of those that are earned at intervals from `first`. */
function withoutExpired(first: number, interval: number, at: Milliseconds): number {
    const overdue = at - first - earnedRequestLifetime;
    return overdue <= 0 ? first : first + Math.ceil(overdue / interval) * interval;
}
