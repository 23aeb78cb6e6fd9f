/**
 * Which boxes follow the store by calls of their own, and which learn of
 * changes from another box.
 *
 * Every call of the store is paid for and its rate is bounded, so in a large
 * region one box, the relay, follows the store and passes changes on to the others. Each copy
 * has an age: the time since the store confirmed, to this box or through
 * another, that the copy was complete. A box whose copy grows too old follows
 * the store itself, those that rank next after the relay first. So a lost,
 * frozen or cut off relay costs some time and a few calls. The next boxes ask
 * within the bound on changes; later ones wait longer, as they hear from these.
 *
 * A region with few boxes has no relay: each box waits at the store itself, so that it hears of a change at once. A connection can
 * fall silent without an end, and then a watch that is not answered says nothing. So the strongest box of such a region has the
 * store confirm its copies as often as a relay does and tells the others, and every box whose copy has not been confirmed in
 * time, by whomever, gives its watch up and asks anew on another connection.
 *
 * The store may turn some boxes away and serve others. Once a box of the region
 * says that it was turned away, the next one takes its part, and the others ask
 * earlier, three times as many in each step, so that a single box that is served
 * is found within the bound, whoever it is.
 *
 * Owns no state; relies on the members that all boxes know.
 */

import { type BoxId, type Clock, type Milliseconds, milliseconds, type RegionId } from "@chalkdale/kernel";
import { type MemberRecord, sortByCapacity } from "../membership/member-record.js";
import { gossipInterval } from "../membership/membership-times.js";
import type { SharedKind } from "./shared-kinds.js";
import { maxUnservedBroadcasts, type UnservedBoxes, watchOverdueAfter } from "./unserved-boxes.js";

/**
 * Regions with fewer boxes have no relay: each box waits at the store itself. Its calls
 * cost too little there for a relay's delay.
 */
const leastRelayedBoxes = 6;
/**
 * Parts of the bound on changes (2 to 2.5 s): the longest wait of a relay's watch, and the age of a copy at which the next
 * box follows the store itself. A relay that is lost costs 0.55 to 0.73 of the bound; the rest is for a list or snapshot.
 */
const watchPart = 0.3;
/**
 * The same for orders of roll-outs: a third of the calls of another kind. A change ends a watch at once, and outcomes reach boxes
 * as news before the store has them, so a lost relay only makes an order begin later.
 */
const rolloutWatchPart = 0.9;
/** Part of the bound on changes: age of a copy from which the next box follows the store. */
const patiencePart = 0.55;
/**
 * Added to that age for each rank after the relay. While the store is out for all, the boxes of a region begin to call one by
 * one, so that few call in an outage of some seconds whatever the size of the region.
 */
const rankPart = 0.06;
/**
 * Part of the bound on changes: age of a copy from which the next boxes follow the store themselves once a box of the region is
 * turned away. Above 0.33, the age at which a box that follows the store then tells the others of it.
 */
const standInPart = 0.4;
/**
 * Added to that age for each step of ranks; a call within a region or to another takes 0.03. 242 boxes have all asked at 0.64. More
 * would take the copies of a fleet of 740 past the bound where one box is served.
 */
const stepPart = 0.06;
/** Each step has so many times the boxes of the one before. */
const stepGrowth = 3;
/**
 * Part of the bound on changes for which a box that has started learns who else runs, before it takes itself for a relay. Its
 * first copy is that young at least. Without it each box would make three watches at its start.
 */
const settlePart = 0.3;

/**
 * Part of the bound on changes: the longest wait of a watch of the box that confirms the copies of a region without a relay. A
 * connection that falls silent hides changes for as long as its watch waits, so for at most 0.84 of the bound.
 */
const confirmPart = 0.5;
/** Added for each box that ranks after it, to the age of a copy from which a box asks anew: one call brings all of them up to date. */
const confirmRankPart = 0.05;

/** Part of the bound on changes between two messages in which a relay tells its region how old its copies are. */
const digestPart = 0.15;

/** Returns the rounds of gossip between two such messages: 2 for a bound of 4 s. */
export function roundsBetweenDigests(changeBound: Milliseconds): number {
    return Math.max(1, Math.round(changeBound * digestPart / gossipInterval));
}

/** The part of one box in following the store. */
export interface RelayRole {
    /** True if the region has a relay, this box or another. */
    readonly hasRelay: () => boolean;
    /** True if this box is the relay of its region, or the region has none. */
    readonly alwaysFollowsStore: () => boolean;
    /** Age of a copy of a kind from which this box follows the store itself; 0 for a box that always does. */
    readonly followStoreAfterAge: (kind: SharedKind) => Milliseconds;
    /** True if the boxes of the region learn from this one that their copies are complete. */
    readonly confirmsForRegion: () => boolean;
    /** Age of a copy from which a watch that still waits is taken for lost, and the store asked anew on another connection. */
    readonly reconnectAfterAge: (kind: SharedKind) => Milliseconds;
    /** True for an age that a copy of the kind does not reach, in a region with a relay, while a box of it follows the store. */
    readonly isStale: (kind: SharedKind, age: number) => boolean;
    /** True if this box should tell its whole region at once that it is turned away: few others have. */
    readonly shouldBroadcastUnserved: () => boolean;
    /** True while the store turns a box of the region away, as far as this box knows. */
    readonly isAnyUnserved: () => boolean;
    /** Time after the start in which the box does not follow the store yet. */
    readonly settleTime: Milliseconds;
    /** How long a watch of a kind may wait without a change, or undefined if no other box depends on this one. */
    readonly watchWait: (kind: SharedKind) => Milliseconds | undefined;
}

export interface RelayRoleOptions {
    readonly self: BoxId;
    readonly region: RegionId;
    /** Boxes that run, this one included; read at each use. */
    readonly alive: () => readonly MemberRecord[];
    /** Time in which a change must be in force. */
    readonly maxPropagationDelay: Milliseconds;
    /** Boxes that the store turns away, this one maybe among them. */
    readonly turnedAway: Pick<UnservedBoxes, "has">;
    readonly clock: Clock;
    /** Time since this box started. */
    readonly uptime: () => Milliseconds;
}

/** Creates the role of one box. The strongest box of a region is its relay. */
export function createRelayRole(options: RelayRoleOptions): RelayRole {
    const { maxPropagationDelay: changeBound, self } = options;
    const settleTime = milliseconds(changeBound * settlePart);

    return {
        hasRelay: isRelayed,
        alwaysFollowsStore: () => followAfterAge("configuration") === 0,
        followStoreAfterAge: followAfterAge,
        confirmsForRegion,
        reconnectAfterAge: askAnewAfterAge,
        isStale: isOverdue,
        shouldBroadcastUnserved: () =>
            isRelayed() && boxesOfRegion().filter(isTurnedAway).length <= maxUnservedBroadcasts,
        isAnyUnserved: isAnyTurnedAway,
        settleTime,
        watchWait,
    };

    function watchWait(kind: SharedKind): Milliseconds | undefined {
        if (isRelayed()) {
            return milliseconds(changeBound * watchPartOf(kind));
        }
        return confirmsForRegion() ? milliseconds(changeBound * confirmPartOf(kind)) : undefined;
    }

    function confirmsForRegion(): boolean {
        return isRelayed() ? followAfterAge("configuration") === 0 : rankOfSelf() === 0;
    }

    function askAnewAfterAge(kind: SharedKind): Milliseconds {
        const part = isRelayed() ? watchPartOf(kind) : confirmPartOf(kind) + confirmRankPart * rankOfSelf();
        return milliseconds(changeBound * part + watchOverdueAfter);
    }

    /** 0 for the strongest box of the region; a box that leaves comes after all others. */
    function rankOfSelf(): number {
        const ranked = sortByCapacity(boxesOfRegion());
        const rank = rankOf(ranked);
        return rank < 0 ? ranked.length : rank;
    }

    function isOverdue(kind: SharedKind, age: number): boolean {
        const part = isAnyTurnedAway() ? standInPart : patiencePart;
        return isRelayed() && age >= changeBound * (part + longerWatchOf(kind));
    }

    function isAnyTurnedAway(): boolean {
        return boxesOfRegion().some(isTurnedAway);
    }

    function isRelayed(): boolean {
        return boxesOfRegion().length >= leastRelayedBoxes;
    }

    function followAfterAge(kind: SharedKind): Milliseconds {
        const ranked = sortByCapacity(boxesOfRegion());
        const rank = rankOf(ranked);
        if (ranked.length < leastRelayedBoxes || rank < 0) {
            return afterSettling(milliseconds(0));
        }
        const open = ranked.filter(record => !isTurnedAway(record));
        if (open.length === ranked.length || rankOf(open) < 0) {
            return afterSettling(patienceOf(kind, rank, open.length < ranked.length));
        }
        const isReplacement = rankOf(open) === 0 && ranked.length - open.length <= maxUnservedBroadcasts;
        return afterSettling(isReplacement ? milliseconds(0) : standInAge(kind, rankOf(open)));
    }

    /** A box that has just started takes no relay's part. */
    function afterSettling(age: Milliseconds): Milliseconds {
        return age === 0 && options.uptime() < settleTime ? settleTime : age;
    }

    /** The relay itself waits too while it is turned away. */
    function patienceOf(kind: SharedKind, rank: number, isAnyTurnedAway: boolean): Milliseconds {
        if (rank === 0 && !isAnyTurnedAway) {
            return milliseconds(0);
        }
        return milliseconds(changeBound * (patiencePart + longerWatchOf(kind) + rankPart * rank));
    }

    function standInAge(kind: SharedKind, rank: number): Milliseconds {
        const step = Math.floor(Math.log(rank + 1) / Math.log(stepGrowth));
        return milliseconds(changeBound * (standInPart + longerWatchOf(kind) + stepPart * step));
    }

    function rankOf(records: readonly MemberRecord[]): number {
        return records.findIndex(record => record.box === self);
    }

    function isTurnedAway({ box }: MemberRecord): boolean {
        return options.turnedAway.has(box, options.clock());
    }

    function boxesOfRegion(): MemberRecord[] {
        return options.alive().filter(record => record.region === options.region && !record.leaving);
    }
}

/** An order of a roll-out may begin later than another change is in force. */
function confirmPartOf(kind: SharedKind): number {
    return kind === "rollouts" ? rolloutWatchPart : confirmPart;
}

function watchPartOf(kind: SharedKind): number {
    return kind === "rollouts" ? rolloutWatchPart : watchPart;
}

/** Part of the bound by which a relay's watch of the kind may wait longer than others. */
function longerWatchOf(kind: SharedKind): number {
    return watchPartOf(kind) - watchPart;
}
