/**
 * One box's part of the limits that hold for all boxes together: retries and
 * connections to servers, and who may send to cold and limited servers.
 *
 * The parts are equal among the advertised boxes, those that the directory names. Any other box has
 * no part, since only callers with an old answer of the directory reach it.
 * Nobody counts for all: the sum of the parts is the limit as long as boxes
 * know each other; a box that is cut off takes the whole.
 *
 * Owns the retry budgets; relies on the members that run.
 */

import { type BoxId, type Clock, milliseconds, type RegionId, type ServiceId } from "@chalkdale/kernel";
import { advertisedBoxes, eligibleSenders } from "../locality/advertised-boxes.js";
import type { MemberRecord } from "../membership/member-record.js";
import type { Membership } from "../membership/membership.js";
import { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from "../retry/retry-budget.js";
import { createTimedCache } from "./timed-cache.js";

export interface SharedLimitsOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly membership: Membership;
    /** Bounds on the retries of all boxes together, for each service. */
    readonly retries: Omit<RetryBudgetOptions, "boxCount">;
    /** Connections that one server of a service accepts from all boxes; undefined if that is not known. */
    readonly serverConnectionLimit: (service: ServiceId) => number | undefined;
    /** Called when the number of advertised boxes has changed. */
    readonly onAdvertisedChanged: (advertisedCount: number, alive: readonly MemberRecord[]) => void;
}

/** The parts of one box. */
export interface SharedLimits {
    /** Boxes that callers are named; those that run, before any is in service. */
    readonly advertised: () => readonly MemberRecord[];
    /** Their ids; the same array while they are the same. */
    readonly advertisedIds: () => readonly BoxId[];
    readonly isAdvertised: (box: BoxId) => boolean;
    /** Boxes that may send to a cold or limited server of a region; the same array while the advertised boxes are the same. */
    readonly eligibleSenders: (region: RegionId) => readonly BoxId[];
    readonly retryBudgetOf: (service: ServiceId) => RetryBudget;
    /** Connections to one server that this box may hold. */
    readonly maxConnectionsPerServer: (service: ServiceId) => number;
}

/** Milliseconds for which the advertised boxes are not computed anew: less than a round of gossip, which changes them. */
const advertisedLifetime = milliseconds(250);
/** Part of a server's connections that all boxes together use; the rest is for health checks and boxes that restart. */
const usedPartOfConnections = 0.8;
/** Connections of a box at least, so that it can serve while its part is small. */
const leastConnections = 2;
/** Connections that a server is taken to accept before its service is known; the brief's figure. */
const assumedMostConnections = 100;

/** Lists of ids that stay the same while the advertised boxes are the same. */
interface AdvertisedLists {
    readonly among: readonly MemberRecord[];
    readonly ids: readonly BoxId[];
    /** By region; see `eligibleSenders`. */
    readonly near: Map<RegionId, readonly BoxId[]>;
}

/** Creates the limits of one box. */
export function createSharedLimits(options: SharedLimitsOptions): SharedLimits {
    const { clock, membership } = options;
    const budgets = new Map<ServiceId, RetryBudget>();
    const advertised = createTimedCache(clock, advertisedLifetime, findAdvertised);
    let lists: AdvertisedLists | undefined;
    let knownCount = 0;

    return {
        advertised,
        advertisedIds: () => listsOfAdvertised().ids,
        isAdvertised,
        eligibleSenders: boxesNearRegion,
        retryBudgetOf: budgetOf,
        maxConnectionsPerServer(service) {
            const most = options.serverConnectionLimit(service) ?? assumedMostConnections;
            return Math.max(leastConnections, Math.floor(most * usedPartOfConnections / sharingBoxes()));
        },
    };

    /** The advertised boxes; before any is in service, those that run. */
    function findAdvertised(): readonly MemberRecord[] {
        const alive = membership.alive(clock());
        const named = advertisedBoxes(membership.inService(clock()));
        if (named.length !== knownCount) {
            knownCount = named.length;
            options.onAdvertisedChanged(named.length, alive);
        }
        return named.length > 0 ? named : alive;
    }

    function listsOfAdvertised(): AdvertisedLists {
        const among = advertised();
        if (lists?.among !== among) {
            lists = { among, ids: among.map(({ box }) => box), near: new Map() };
        }
        return lists;
    }

    function boxesNearRegion(region: RegionId): readonly BoxId[] {
        const { among, near } = listsOfAdvertised();
        const known = near.get(region) ?? eligibleSenders(among, region);
        near.set(region, known);
        return known;
    }

    function isAdvertised(box: BoxId): boolean {
        return advertised().some(record => record.box === box);
    }

    /** Boxes with an equal part; without end for a box that has none. */
    function sharingBoxes(): number {
        return isAdvertised(options.self) ? advertised().length : Infinity;
    }

    function budgetOf(service: ServiceId): RetryBudget {
        let budget = budgets.get(service);
        if (budget === undefined) {
            budget = createRetryBudget({ ...options.retries, boxCount: sharingBoxes });
            budgets.set(service, budget);
        }
        return budget;
    }
}
