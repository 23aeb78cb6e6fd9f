/**
 * Which boxes follow the store by their own calls, and which receive changes from
 * another box.
 *
 * Store calls are paid for and their rate is limited. So in a large region one box,
 * the relay, follows the store and forwards changes to the others. Each replica has an
 * age: the time since the store confirmed, to this box or through another one, that the
 * replica was complete. A box whose replica grows too old follows the store itself, in the
 * order of the ranks after the relay. So a relay that is lost, paused or disconnected
 * costs some time and a few calls. The boxes with the next ranks call the store within
 * the maximum propagation delay; later ones wait longer, since they receive changes from these.
 *
 * A region with few boxes has no relay: each box watches the store itself and receives a
 * change at once. A connection can stop delivering without being closed; a watch without
 * an answer is then no evidence that nothing has changed. So the box with the greatest
 * capacity in such a region has the store confirm its replicas regularly, as a relay does,
 * and reports that to the others. Every box whose replica has not been confirmed in time,
 * directly or by another box, abandons its watch and calls the store on a new connection.
 *
 * The store may serve some boxes and not others. Once a box of the region reports that it
 * is unserved, the next one takes its role, and the others call the store earlier, in steps
 * of three times as many boxes each, so that a single box that is served is found within
 * the maximum propagation delay, whichever box it is.
 *
 * Owns no state; relies on the members that all boxes know.
 */

import { type BoxId, type Clock, type Milliseconds, milliseconds, type RegionId } from "@chalkdale/kernel";
import { type MemberRecord, sortByCapacity } from "../membership/member-record.js";
import { gossipInterval } from "../membership/membership-times.js";
import type { SharedKind } from "./shared-kinds.js";
import { maxUnservedBroadcasts, type UnservedBoxes, watchOverdueAfter } from "./unserved-boxes.js";

/**
 * Regions with fewer boxes have no relay: each box watches the store itself. The calls saved
 * there would not be worth the delay that a relay adds.
 */
const minBoxesForRelay = 6;
/**
 * Maximum wait of a relay's watch, as a fraction of the maximum propagation delay (2 to 2.5 s). A lost relay costs 0.55
 * to 0.73 of the delay, see `followAgeFraction`; what remains is for a list call or a snapshot.
 */
const watchFraction = 0.3;
/**
 * The same for orders of roll-outs, which need a third of the calls of another kind. A change ends a watch at once, and
 * outcomes reach boxes in messages before the store has them, so a lost relay only delays the beginning of an order.
 */
const rolloutWatchFraction = 0.9;
/**
 * Age of a replica at which the box after the relay follows the store itself, as a fraction of the maximum propagation
 * delay.
 */
const followAgeFraction = 0.55;
/**
 * Added to that age for each rank after the relay. While the store is unavailable to all, the boxes of a region begin
 * to call one by one, so that few call in an outage of several seconds, whatever the size of the region.
 */
const rankFraction = 0.06;
/**
 * Age of a replica at which the next boxes follow the store themselves once a box of the region is unserved, as a
 * fraction of the maximum propagation delay. Above 0.33, the age at which a box that then follows the store reports it
 * to the others.
 */
const standInFraction = 0.4;
/**
 * Added to that age for each step of ranks; a call within a region or to another takes 0.03. In a region of 242 boxes
 * all have called by 0.64. With a larger step, the replicas of a fleet of 740 would exceed the maximum propagation
 * delay while a single box is served.
 */
const stepFraction = 0.06;
/** Each step has this many times as many boxes as the one before. */
const stepGrowth = 3;
/**
 * Time after its start in which a box learns who else runs before it regards itself as the relay, as a fraction of the
 * maximum propagation delay. Its first copy is at most that old. Without this time each box would begin three watches
 * at its start.
 */
const settleFraction = 0.3;

/**
 * Maximum wait of a watch of the box that confirms the replicas of a region without a relay, as a fraction of the
 * maximum propagation delay. A connection that stops delivering hides changes until its watch is abandoned, for at most
 * 0.84 of the delay.
 */
const confirmFraction = 0.5;
/**
 * Added per rank to the age of a replica at which a box reconnects, since one box's call brings all of them up to date.
 */
const confirmRankFraction = 0.05;

/**
 * Time between two digests of a relay, in which it reports the ages of its replicas, as a fraction of the maximum
 * propagation delay.
 */
const digestFraction = 0.15;

/** Returns the number of gossip rounds between two digests: 2 for a maximum propagation delay of 4 s. */
export function roundsBetweenDigests(maxPropagationDelay: Milliseconds): number {
    return Math.max(1, Math.round(maxPropagationDelay * digestFraction / gossipInterval));
}

/** The role of one box in following the store. */
export interface RelayRole {
    /** True if the region has a relay, this box or another. */
    readonly hasRelay: () => boolean;
    /** True if this box is the relay of its region, or the region has none. */
    readonly alwaysFollowsStore: () => boolean;
    /** Age of a replica of the kind at which this box follows the store itself; 0 for a box that always does. */
    readonly followStoreAfterAge: (kind: SharedKind) => Milliseconds;
    /** True if this box reports to the boxes of its region that their replicas are complete. */
    readonly confirmsForRegion: () => boolean;
    /** Age of a replica at which a waiting watch is regarded as lost, and the store is called on a new connection. */
    readonly reconnectAfterAge: (kind: SharedKind) => Milliseconds;
    /**
     * True for an age that a replica of the kind does not reach in a region with a relay while a box of the region
     * follows the store.
     */
    readonly isStale: (kind: SharedKind, age: number) => boolean;
    /** True if this box should report to its whole region at once that it is unserved: few others have done so. */
    readonly shouldBroadcastUnserved: () => boolean;
    /** True while a box of the region is unserved, as far as this box knows. */
    readonly isAnyUnserved: () => boolean;
    /** Time after its start in which the box does not follow the store yet. */
    readonly settleTime: Milliseconds;
    /** Maximum wait of a watch of the kind without a change; undefined if no other box depends on this one. */
    readonly watchWait: (kind: SharedKind) => Milliseconds | undefined;
}

export interface RelayRoleOptions {
    readonly self: BoxId;
    readonly region: RegionId;
    /** Returns the boxes that run, this one included; called at each use. */
    readonly alive: () => readonly MemberRecord[];
    /** Time in which a change must be in force on all boxes. */
    readonly maxPropagationDelay: Milliseconds;
    /** Boxes that the store does not serve, possibly this one too. */
    readonly turnedAway: Pick<UnservedBoxes, "has">;
    readonly clock: Clock;
    /** Time since this box started. */
    readonly uptime: () => Milliseconds;
}

/** Creates the role of one box. The box with the greatest capacity in a region is its relay. */
export function createRelayRole(options: RelayRoleOptions): RelayRole {
    const { maxPropagationDelay, self } = options;
    const settleTime = milliseconds(maxPropagationDelay * settleFraction);

    return {
        hasRelay,
        alwaysFollowsStore: () => followStoreAfterAge("configuration") === 0,
        followStoreAfterAge,
        confirmsForRegion,
        reconnectAfterAge,
        isStale,
        shouldBroadcastUnserved: () => hasRelay() && boxesOfRegion().filter(isUnserved).length <= maxUnservedBroadcasts,
        isAnyUnserved,
        settleTime,
        watchWait,
    };

    function watchWait(kind: SharedKind): Milliseconds | undefined {
        if (hasRelay()) {
            return milliseconds(maxPropagationDelay * watchFractionOf(kind));
        }
        return confirmsForRegion() ? milliseconds(maxPropagationDelay * confirmFractionOf(kind)) : undefined;
    }

    function confirmsForRegion(): boolean {
        return hasRelay() ? followStoreAfterAge("configuration") === 0 : rankOfSelf() === 0;
    }

    function reconnectAfterAge(kind: SharedKind): Milliseconds {
        const fraction = hasRelay()
            ? watchFractionOf(kind)
            : confirmFractionOf(kind) + confirmRankFraction * rankOfSelf();
        return milliseconds(maxPropagationDelay * fraction + watchOverdueAfter);
    }

    /** 0 for the box with the greatest capacity in the region; a leaving box ranks after all others. */
    function rankOfSelf(): number {
        const ranked = sortByCapacity(boxesOfRegion());
        const rank = rankOf(ranked);
        return rank < 0 ? ranked.length : rank;
    }

    function isStale(kind: SharedKind, age: number): boolean {
        const fraction = isAnyUnserved() ? standInFraction : followAgeFraction;
        return hasRelay() && age >= maxPropagationDelay * (fraction + extraWatchFractionOf(kind));
    }

    function isAnyUnserved(): boolean {
        return boxesOfRegion().some(isUnserved);
    }

    function hasRelay(): boolean {
        return boxesOfRegion().length >= minBoxesForRelay;
    }

    function followStoreAfterAge(kind: SharedKind): Milliseconds {
        const ranked = sortByCapacity(boxesOfRegion());
        const rank = rankOf(ranked);
        if (ranked.length < minBoxesForRelay || rank < 0) {
            return afterSettling(milliseconds(0));
        }
        const served = ranked.filter(record => !isUnserved(record));
        if (served.length === ranked.length || rankOf(served) < 0) {
            return afterSettling(followAgeOf(kind, rank, served.length < ranked.length));
        }
        const isReplacement = rankOf(served) === 0 && ranked.length - served.length <= maxUnservedBroadcasts;
        return afterSettling(isReplacement ? milliseconds(0) : standInAge(kind, rankOf(served)));
    }

    /** A box that has just started does not act as a relay. */
    function afterSettling(age: Milliseconds): Milliseconds {
        return age === 0 && options.uptime() < settleTime ? settleTime : age;
    }

    /** The relay waits too while the store does not serve it. */
    function followAgeOf(kind: SharedKind, rank: number, hasUnserved: boolean): Milliseconds {
        if (rank === 0 && !hasUnserved) {
            return milliseconds(0);
        }
        return milliseconds(
            maxPropagationDelay * (followAgeFraction + extraWatchFractionOf(kind) + rankFraction * rank),
        );
    }

    function standInAge(kind: SharedKind, rank: number): Milliseconds {
        const step = Math.floor(Math.log(rank + 1) / Math.log(stepGrowth));
        return milliseconds(maxPropagationDelay * (standInFraction + extraWatchFractionOf(kind) + stepFraction * step));
    }

    function rankOf(records: readonly MemberRecord[]): number {
        return records.findIndex(record => record.box === self);
    }

    function isUnserved({ box }: MemberRecord): boolean {
        return options.turnedAway.has(box, options.clock());
    }

    function boxesOfRegion(): MemberRecord[] {
        return options.alive().filter(record => record.region === options.region && !record.leaving);
    }
}

/** Orders of roll-outs may be confirmed less often: an order may begin later than the maximum propagation delay. */
function confirmFractionOf(kind: SharedKind): number {
    return kind === "rollouts" ? rolloutWatchFraction : confirmFraction;
}

function watchFractionOf(kind: SharedKind): number {
    return kind === "rollouts" ? rolloutWatchFraction : watchFraction;
}

/** Fraction of the maximum propagation delay by which a relay's watch of the kind may wait longer than others. */
function extraWatchFractionOf(kind: SharedKind): number {
    return watchFractionOf(kind) - watchFraction;
}
