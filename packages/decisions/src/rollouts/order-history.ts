/**
 * Keeps the identity and the state of roll-out orders when the store is restored from an
 * older copy. A restore may lose a state that boxes had written, or the whole order until
 * its operator writes it again.
 *
 * An order with the same target in a later epoch continues the known one: its age and
 * the requests granted and sent for it still count. A box that started after the restore
 * learns from the other boxes by which identity they know the order.
 *
 * Owns the furthest state of each order. Relies on the box's copy of the orders, which
 * keeps an order for a while after the store has lost it.
 */

import type { Milliseconds, ServiceId } from "@chalkdale/kernel";
import { epochOf } from "../shared-state/store-position.js";
import type { RolloutId, RolloutOrder, RolloutState } from "./rollout-order.js";

/** A final state. */
type RolloutOutcome = Exclude<RolloutState, "running">;

/** The orders that one box knows. */
export interface OrderHistory {
    /** Records an order as the store has it; an older revision than the known one is ignored. */
    readonly onStoredOrder: (order: RolloutOrder, at: Milliseconds) => void;
    /** Returns an order of the store with the `createdAt` by which boxes know it. */
    readonly withKnownIdentity: (order: RolloutOrder) => RolloutOrder;
    /**
     * Takes over the identity that another box uses for a roll-out. Returns true if this box knew the same order
     * by a different identity until now.
     */
    readonly adoptIdentity: (rollout: RolloutId, at: Milliseconds) => boolean;
    /** Drops the orders of all other services. */
    readonly keepOnly: (services: ReadonlySet<ServiceId>) => void;
    /** The final state that the store has had for an order, even if a restore has lost it since. */
    readonly outcomeOf: (rollout: RolloutId) => RolloutOutcome | undefined;
    /** True if the store has ever had a state for the order, so boxes may have been granted requests for it. */
    readonly hasRun: (rollout: RolloutId) => boolean;
}

interface KnownOrder {
    /** The order as the store has it now. */
    readonly stored: RolloutOrder;
    /** Creation revision of the object under which boxes first knew the order. */
    readonly createdAt: number;
    /** Time at which this box learned of the order. */
    readonly since: Milliseconds;
    /** The furthest state that the store has had for the order. */
    readonly furthestState: RolloutState | undefined;
}

/**
 * Milliseconds after learning of an order in which a box adopts other boxes' identity for it. Longer than it
 * takes until the orders of a restored store are written again.
 */
const identityAdoptionTime = 15_000;

/** Creates an empty history. */
export function createOrderHistory(): OrderHistory {
    const known = new Map<ServiceId, KnownOrder>();

    return {
        onStoredOrder(order, at) {
            const previous = known.get(order.service);
            if (previous !== undefined && order.revision < previous.stored.revision) {
                return;
            }
            const isContinued = previous !== undefined && isSameOrder(order, previous);
            known.set(order.service, isContinued ? continueOrder(order, previous) : createKnownOrder(order, at));
        },
        withKnownIdentity(order) {
            const current = known.get(order.service);
            return current !== undefined && order.createdAt === current.stored.createdAt
                ? { ...order, createdAt: current.createdAt }
                : order;
        },
        adoptIdentity(rollout, at) {
            const order = known.get(rollout.service);
            if (order === undefined || !isOtherIdentity(rollout, order) || at - order.since >= identityAdoptionTime) {
                return false;
            }
            known.set(rollout.service, { ...order, createdAt: rollout.createdAt });
            return true;
        },
        keepOnly(services) {
            [...known.keys()].filter(service => !services.has(service)).forEach(service => known.delete(service));
        },
        outcomeOf(rollout) {
            const furthestState = furthestStateOf(rollout);
            return furthestState === "running" ? undefined : furthestState;
        },
        hasRun: rollout => furthestStateOf(rollout) !== undefined,
    };

    function furthestStateOf({ createdAt, service, targetVersion }: RolloutId): RolloutState | undefined {
        const order = known.get(service);
        const isKnown = order?.createdAt === createdAt && order.stored.targetVersion === targetVersion;
        return isKnown ? order.furthestState : undefined;
    }
}

function isSameOrder(order: RolloutOrder, { stored }: KnownOrder): boolean {
    const isOfLaterEpoch = epochOf(order.revision) > epochOf(stored.revision);
    return order.targetVersion === stored.targetVersion && (order.createdAt === stored.createdAt || isOfLaterEpoch);
}

/**
 * True if the identity is one by which boxes know this order, and the store has it under another one. If there
 * are two such identities, after two restores of the store, the smaller one wins.
 */
function isOtherIdentity(
    { createdAt, targetVersion }: RolloutId,
    { createdAt: knownCreatedAt, stored }: KnownOrder,
): boolean {
    const isSameTarget = targetVersion === stored.targetVersion && epochOf(stored.revision) > 0;
    const isKnownFromStore = knownCreatedAt === stored.createdAt;
    return isSameTarget && createdAt !== stored.createdAt && (isKnownFromStore || createdAt < knownCreatedAt);
}

function createKnownOrder(order: RolloutOrder, at: Milliseconds): KnownOrder {
    return { stored: order, createdAt: order.createdAt, since: at, furthestState: order.state };
}

/** A final state is never replaced, and a known state is never reset to undefined. */
function continueOrder(order: RolloutOrder, previous: KnownOrder): KnownOrder {
    const { furthestState } = previous;
    const isDecided = furthestState === "completed" || furthestState === "rolledBack";
    return { ...previous, stored: order, furthestState: isDecided ? furthestState : order.state ?? furthestState };
}
