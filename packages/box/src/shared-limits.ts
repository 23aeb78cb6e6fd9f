/**
 * This box's part of what is bounded for all boxes together: repeats,
 * connections to servers, and requests to cold servers.
 *
 * The parts are equal among the carriers, the boxes that callers are sent to.
 * Any other box has no part, since only callers with an old answer of the
 * directory reach it.
 */

import {
    advertisedBoxes,
    createRetryBudget,
    type MemberRecord,
    type Membership,
    type RetryBudget,
    slowStartSenders,
} from "@chalkdale/decisions";
import { type BoxId, type Clock, milliseconds, type RegionId, type ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import { createCached } from "./cached.js";
import type { BoxSettings } from "./settings.js";

export interface SharedLimitsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly settings: BoxSettings;
    readonly membership: Membership;
    /** Connections that one server of a service accepts from all boxes; undefined if that is not known. */
    readonly connectionsOf: (service: ServiceId) => number | undefined;
}

/** The parts of one box. */
export interface SharedLimits {
    readonly advertisedCount: () => number;
    /** Boxes that may send to a cold server of a region. */
    readonly slowStartSenders: (region: RegionId) => readonly BoxId[];
    readonly budgetOf: (service: ServiceId) => RetryBudget;
    /** Connections to one server that this box may hold. */
    readonly mostConnections: (service: ServiceId) => number;
}

const advertisedLifetime = milliseconds(250);
/** Part of a server's connections that all boxes together use. */
const usedPartOfConnections = 0.8;
const leastConnections = 2;
const assumedMostConnections = 100;

/** Creates the limits of one box. */
export function createSharedLimits(options: SharedLimitsOptions): SharedLimits {
    const { clock, log, membership, settings } = options;
    const budgets = new Map<ServiceId, RetryBudget>();
    const carriers = createCached(clock, advertisedLifetime, findAdvertisedBoxes);
    let knownCount = 0;

    return {
        advertisedCount: () => carriers().length,
        slowStartSenders: region => slowStartSenders(carriers(), region),
        budgetOf,
        mostConnections(service) {
            const most = options.connectionsOf(service) ?? assumedMostConnections;
            return Math.max(leastConnections, Math.floor(most * usedPartOfConnections / sharingBoxes()));
        },
    };

    /** The boxes that callers are sent to; before any is in service, those that run. */
    function findAdvertisedBoxes(): readonly MemberRecord[] {
        const alive = membership.alive(clock());
        const named = advertisedBoxes(membership.inService(clock()));
        if (named.length !== knownCount) {
            knownCount = named.length;
            log.info("carriers.changed", { carriers: named.length, alive: alive.length, load: sumOfLoads(alive) });
        }
        return named.length > 0 ? named : alive;
    }

    /** Boxes with an equal part; without end for a box that has none. */
    function sharingBoxes(): number {
        const isCarrier = carriers().some(record => record.box === settings.box);
        return isCarrier ? carriers().length : Infinity;
    }

    function budgetOf(service: ServiceId): RetryBudget {
        let budget = budgets.get(service);
        if (budget === undefined) {
            budget = createRetryBudget({
                ratio: settings.bounds.retryRatio,
                window: settings.bounds.retryWindow,
                allowance: settings.bounds.retryAllowance,
                boxCount: sharingBoxes,
            });
            budgets.set(service, budget);
        }
        return budget;
    }
}

function sumOfLoads(members: readonly MemberRecord[]): string {
    return members.reduce((sum, member) => sum + member.load, 0).toFixed(2);
}
