/**
 * This box's part of the rate that a server names.
 *
 * The whole rate is used. In any span of 4 s all boxes together send little more than four times the rate and one and
 * a half requests for each holder, where six times the rate and 5 requests are borne. So more boxes
 * hold a part of a greater rate, and enough room is left for boxes that do not agree on the holders for a while.
 *
 * A limit ends by the server's word alone, so while nothing is heard of it boxes that hold no part ask as well, one after the other.
 *
 * Owns the time of this box's last request; relies on `shared-rate` for its part.
 */

import type { BackendServerId, BoxId, Milliseconds } from "@chalkdale/kernel";
import { createBoxRank } from "../limits/box-rank.js";
import { createSharedRate, type SharedRate } from "../limits/shared-rate.js";

/** Boxes that hold a part of the smallest rates. */
const fewestHolders = 3;
/** Part of a request that a box saves up beside a whole one: requests do not come just when its next one is earned. */
const savedPart = 0.5;
/** Further boxes for each request a second. */
const holdersPerRate = 1;
/**
 * Requests a second that are sent to a server which takes fewer, or none: it tells only in its answers that the limit has ended.
 * One box sends them.
 */
const askingRate = 0.25;

/**
 * Milliseconds without word of the limit after which other boxes ask one after the other: callers may use none of the boxes that hold a part.
 */
const quietTime = 6000;
/** Milliseconds of the turn of one of these boxes: longer than word of an answer takes to reach all. */
const askingTurn = 4000;

export interface LimitShareOptions {
    readonly self: BoxId;
    readonly server: BackendServerId;
    /** Boxes among which the holders are chosen; one that is not among them sends nothing. */
    readonly boxes: () => readonly BoxId[];
    /** Boxes that callers are named, of all regions; the same array while they are the same. */
    readonly advertisedBoxIds: () => readonly BoxId[];
}

/** What is known of a limit. */
export interface KnownLimit {
    /** Requests a second. */
    readonly rate: number;
    /** The time of the newest word of it. */
    readonly updatedAt: Milliseconds;
}

/** Creates the part of a rate that a server has just named; `known` gives what is known of it now. */
export function createLimitShare(options: LimitShareOptions, known: () => KnownLimit): SharedRate {
    const part = createPart(options, () => known().rate);
    const ownRank = createBoxRank({ self: options.self, subject: options.server });
    let askedAt = -Infinity;
    let askedBefore = -Infinity;

    return {
        allows: at => part.allows(at) || asks(at),
        onSent(at) {
            askedBefore = askedAt;
            askedAt = at;
            part.onSent(at);
        },
        onNotSent() {
            askedAt = askedBefore;
            part.onNotSent();
        },
    };

    /** The longer nothing is heard the more boxes ask, each the more seldom: of all together one in each turn. */
    function asks(at: Milliseconds): boolean {
        const quietFor = at - known().updatedAt - quietTime;
        const asking = Math.floor(quietFor / askingTurn) + 1;
        const rank = quietFor < 0 ? undefined : ownRank(options.advertisedBoxIds());
        return rank !== undefined && rank < asking && at - askedAt >= askingTurn * asking;
    }
}

function createPart({ boxes, self, server }: LimitShareOptions, rate: () => number): SharedRate {
    return createSharedRate({
        self,
        subject: server,
        boxes,
        rate: () => Math.max(askingRate, rate()),
        maxHolders: used => used <= askingRate ? 1 : fewestHolders + Math.floor(used * holdersPerRate),
        usedFraction: 1,
        savedFraction: savedPart,
        firstRequest: "earned",
    });
}
