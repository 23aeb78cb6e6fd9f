/**
 * One box's share of the limits that apply to all boxes together: retries and connections to servers, and which boxes
 * may send to cold and limited servers.
 *
 * The shares need no coordinator. All boxes that are known to exist have equal shares of the retries, so that boxes
 * which don't see each other don't use the shares of the others; a box that knows nobody has none. The advertised
 * boxes, those that the directory returns, have equal shares of the connections while each sees all others, and any
 * other box has none, since only callers with an outdated answer of the directory reach it. A box that sees most of the
 * boxes known to exist leaves the rates of cold and limited servers to the senders near the server; any other box has an
 * equal part of them.
 *
 * Owns the retry budgets; relies on the membership for the running boxes.
 */

import {
    type BoxId,
    type Clock,
    milliseconds,
    type RandomSource,
    type RegionId,
    type ServiceId,
} from "@chalkdale/kernel";
import { advertisedBoxes, eligibleSenders } from "../locality/advertised-boxes.js";
import type { MemberRecord } from "../membership/member-record.js";
import type { Membership } from "../membership/membership.js";
import {
    createRetryBudget,
    type RetryBudget,
    type RetryBudgetOptions,
    type RetryBudgetSummary,
} from "../retry/retry-budget.js";
import { createFleetSize, type FleetSize } from "./fleet-size.js";
import { createTimedCache } from "./timed-cache.js";

/** The limits to share, and what the shares depend on. */
export interface SharedLimitsOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly membership: Membership;
    /** Bounds on the retries of all boxes together, per service. */
    readonly retries: Pick<RetryBudgetOptions, "ratio" | "window" | "allowance">;
    readonly random: RandomSource;
    /** Connections that one server of a service accepts from all boxes together; undefined if unknown. */
    readonly serverConnectionLimit: (service: ServiceId) => number | undefined;
    /** Called when the number of advertised boxes has changed. */
    readonly onAdvertisedChanged: (advertisedCount: number, alive: readonly MemberRecord[]) => void;
}

/** The limits of one box. */
export interface SharedLimits {
    /** Boxes that the directory returns to callers; before any box is in service, those that run. */
    readonly advertised: () => readonly MemberRecord[];
    /** Their ids; the same array while the advertised boxes are unchanged. */
    readonly advertisedIds: () => readonly BoxId[];
    readonly isAdvertised: (box: BoxId) => boolean;
    /**
     * Boxes that may send to a cold or limited server of a region; the same array while the advertised boxes are
     * unchanged.
     */
    readonly eligibleSenders: (region: RegionId) => readonly BoxId[];
    /**
     * Number of boxes with equal parts of the rates of cold and limited servers; undefined while this box sees most of
     * them, so that the senders have the rates. See `SharedRateOptions`.
     */
    readonly equalParts: () => number | undefined;
    /** The store's records of boxes were read: shares are divided among these boxes as well. */
    readonly onBoxesRecorded: FleetSize["onRecorded"];
    readonly retryBudgetOf: (service: ServiceId) => RetryBudget;
    /** State of the retry budgets of all services that this box has had requests for. */
    readonly retryBudgets: () => ReadonlyMap<ServiceId, RetryBudgetSummary>;
    /** Connections to one server that this box may open. */
    readonly maxConnectionsPerServer: (service: ServiceId) => number;
}

/** Milliseconds for which the advertised boxes are cached: less than a round of gossip, which may change them. */
const advertisedLifetime = milliseconds(250);
/**
 * Fraction of a server's connections that all boxes together use. The remainder is for health checks and restarting
 * boxes.
 */
const usedConnectionsFraction = 0.8;
/** Connections that a box may always open to a server, so that it can serve with a small share. */
const minConnections = 2;
/** Connections that a server is assumed to accept while its service is unknown. */
const defaultConnectionLimit = 100;

/** Lists that are kept while the advertised boxes are unchanged. */
interface AdvertisedLists {
    readonly records: readonly MemberRecord[];
    readonly ids: readonly BoxId[];
    /** By region; see `SharedLimits.eligibleSenders`. */
    readonly senders: Map<RegionId, readonly BoxId[]>;
}

/** Creates the limits of one box. */
export function createSharedLimits(options: SharedLimitsOptions): SharedLimits {
    const { clock, membership, self } = options;
    const fleetSize = createFleetSize({ clock, membership, self });
    const startedAt = clock();
    const budgets = new Map<ServiceId, RetryBudget>();
    const advertised = createTimedCache(clock, advertisedLifetime, findAdvertised);
    let lists: AdvertisedLists | undefined;
    let lastAdvertisedCount = 0;

    return {
        advertised,
        advertisedIds: () => advertisedLists().ids,
        isAdvertised,
        eligibleSenders: sendersOf,
        equalParts: createTimedCache(
            clock,
            advertisedLifetime,
            () => fleetSize.isInMajority() ? undefined : fleetSize.recordedCount() ?? Infinity,
        ),
        onBoxesRecorded: fleetSize.onRecorded,
        retryBudgetOf,
        retryBudgets: () => new Map([...budgets].map(([service, budget]) => [service, budget.summary(clock())])),
        maxConnectionsPerServer(service) {
            const accepted = options.serverConnectionLimit(service) ?? defaultConnectionLimit;
            return Math.max(minConnections, Math.floor(accepted * usedConnectionsFraction / connectingBoxCount()));
        },
    };

    /**
     * Returns the advertised boxes, or the running ones before any is in service, and reports a change of their number.
     */
    function findAdvertised(): readonly MemberRecord[] {
        const alive = membership.alive(clock());
        const inDirectory = advertisedBoxes(membership.inService(clock()));
        if (inDirectory.length !== lastAdvertisedCount) {
            lastAdvertisedCount = inDirectory.length;
            options.onAdvertisedChanged(inDirectory.length, alive);
        }
        return inDirectory.length > 0 ? inDirectory : alive;
    }

    function advertisedLists(): AdvertisedLists {
        const records = advertised();
        if (lists?.records !== records) {
            lists = { records, ids: records.map(({ box }) => box), senders: new Map() };
        }
        return lists;
    }

    function sendersOf(region: RegionId): readonly BoxId[] {
        const { records, senders } = advertisedLists();
        const known = senders.get(region) ?? eligibleSenders(records, region);
        senders.set(region, known);
        return known;
    }

    function isAdvertised(box: BoxId): boolean {
        return advertised().some(record => record.box === box);
    }

    /** Returns the number of boxes with an equal share of the connections; infinite if this box has none. */
    function connectingBoxCount(): number {
        const known = fleetSize.count() ?? Infinity;
        if (!isAdvertised(self)) {
            return Infinity;
        }
        // Boxes that this one doesn't see may be running, and advertised elsewhere.
        return membership.alive(clock()).length < known ? known : advertised().length;
    }

    function retryBudgetOf(service: ServiceId): RetryBudget {
        let budget = budgets.get(service);
        if (budget === undefined) {
            budget = createRetryBudget({
                ...options.retries,
                boxCount: () => fleetSize.count() ?? Infinity,
                startedAt,
                random: options.random,
            });
            budgets.set(service, budget);
        }
        return budget;
    }
}
