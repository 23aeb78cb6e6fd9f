/**
 * Orders of roll-outs through returns of the store from an older copy, which lose states
 * that boxes had written, or the order itself until its operator writes it again.
 *
 * An order that is there in a later epoch with the same target goes on as the one that was known, so that its age, and what
 * was granted and sent for it, count on. A box that has started since learns from the others by which
 * identity they know it.
 *
 * Owns how far each order had come; relies on the copy to hold an order that the store has lost for a while.
 */

import type { Milliseconds, ServiceId } from "@chalkdale/kernel";
import { epochOf } from "../shared-state/store-position.js";
import type { RolloutId, RolloutOrder, RolloutState } from "./rollout-order.js";

/** An outcome that the store had. */
type RolloutOutcome = Exclude<RolloutState, "running">;

/** The orders of one box. */
export interface OrderHistory {
    /** Takes an order as the store has it. */
    readonly onStoredOrder: (order: RolloutOrder, at: Milliseconds) => void;
    /** Returns an order as the store has it under the identity by which boxes know it. */
    readonly withKnownIdentity: (order: RolloutOrder) => RolloutOrder;
    /** Another box speaks of a roll-out; true if it is one that this box knew by another identity until now. */
    readonly adoptIdentity: (rollout: RolloutId, at: Milliseconds) => boolean;
    /** Forgets the orders of other services. */
    readonly keepOnly: (services: ReadonlySet<ServiceId>) => void;
    /** The outcome that the store has had of an order, whether it has it now or not. */
    readonly outcomeOf: (rollout: RolloutId) => RolloutOutcome | undefined;
    /** True if the store has had the order running, so that boxes may have been granted requests for it. */
    readonly hasRun: (rollout: RolloutId) => boolean;
}

interface KnownOrder {
    /** As the store has it now. */
    readonly stored: RolloutOrder;
    /** Creation of the object by which boxes first knew the order. */
    readonly createdAt: number;
    /** When this box first knew of it. */
    readonly since: Milliseconds;
    /** The furthest state that the store has had. */
    readonly reached: RolloutState | undefined;
}

/** Milliseconds for which a box learns by which identity others know an order: longer than a restored store's orders take to be written again. */
const adoptedFor = 15_000;

/** Creates it without orders. */
export function createOrderHistory(): OrderHistory {
    const known = new Map<ServiceId, KnownOrder>();

    return {
        onStoredOrder(order, at) {
            const before = known.get(order.service);
            if (before !== undefined && order.revision < before.stored.revision) {
                return;
            }
            const goesOn = before !== undefined && isSameOrder(order, before);
            known.set(order.service, goesOn ? goOn(order, before) : begin(order, at));
        },
        withKnownIdentity(order) {
            const newest = known.get(order.service);
            return newest !== undefined && order.createdAt === newest.stored.createdAt
                ? { ...order, createdAt: newest.createdAt }
                : order;
        },
        adoptIdentity(rollout, at) {
            const order = known.get(rollout.service);
            if (order === undefined || !isOtherIdentity(rollout, order) || at - order.since >= adoptedFor) {
                return false;
            }
            known.set(rollout.service, { ...order, createdAt: rollout.createdAt });
            return true;
        },
        keepOnly(services) {
            [...known.keys()].filter(service => !services.has(service)).forEach(service => known.delete(service));
        },
        outcomeOf(rollout) {
            const reached = reachedBy(rollout);
            return reached === "running" ? undefined : reached;
        },
        hasRun: rollout => reachedBy(rollout) !== undefined,
    };

    function reachedBy({ createdAt, service, targetVersion }: RolloutId): RolloutState | undefined {
        const order = known.get(service);
        const isKnown = order?.createdAt === createdAt && order.stored.targetVersion === targetVersion;
        return isKnown ? order.reached : undefined;
    }
}

function isSameOrder(order: RolloutOrder, { stored }: KnownOrder): boolean {
    const isOfLaterEpoch = epochOf(order.revision) > epochOf(stored.revision);
    return order.targetVersion === stored.targetVersion && (order.createdAt === stored.createdAt || isOfLaterEpoch);
}

/**
 * True for the identity by which boxes know an order that the store has under another one. Of two such identities, after two
 * returns of the store, the smaller one counts.
 */
function isOtherIdentity({ createdAt, targetVersion }: RolloutId, { createdAt: own, stored }: KnownOrder): boolean {
    const isOfOrder = targetVersion === stored.targetVersion && epochOf(stored.revision) > 0;
    const isFromStore = own === stored.createdAt;
    return isOfOrder && createdAt !== stored.createdAt && (isFromStore || createdAt < own);
}

function begin(order: RolloutOrder, at: Milliseconds): KnownOrder {
    return { stored: order, createdAt: order.createdAt, since: at, reached: order.state };
}

/** An outcome is final, and `running` is never taken back. */
function goOn(order: RolloutOrder, before: KnownOrder): KnownOrder {
    const { reached } = before;
    const isDecided = reached === "completed" || reached === "rolledBack";
    return { ...before, stored: order, reached: isDecided ? reached : order.state ?? reached };
}
