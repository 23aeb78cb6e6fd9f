/**
 * Orders of roll-outs through returns of the store from an older copy, which lose states
 * that boxes had written, or the order itself until its operator writes it again.
 *
 * An order that is there in a later era with the same target goes on as the one that was known, so that what
 * was granted and sent for it counts on.
 *
 * Owns how far each order had come; relies on the copy to hold an order that the store has lost for a while.
 */

import type { ServiceId } from "@chalkdale/kernel";
import { eraOf } from "../shared-state/store-position.js";
import type { RolloutId, RolloutOrder, RolloutState } from "./rollout-order.js";

/** An outcome that the store had. */
type RolloutOutcome = Exclude<RolloutState, "running">;

/** The orders of one box. */
export interface RestoredOrders {
    /** Takes an order as the store has it; returns it under the identity that it had. */
    readonly take: (order: RolloutOrder) => RolloutOrder;
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
    /** The furthest state that the store has had. */
    readonly reached: RolloutState | undefined;
}

/** Creates it without orders. */
export function createRestoredOrders(): RestoredOrders {
    const known = new Map<ServiceId, KnownOrder>();

    return {
        take(order) {
            const before = known.get(order.service);
            const next = before !== undefined && isSameOrder(order, before) ? goOn(order, before) : begin(order);
            known.set(order.service, next);
            return { ...order, createdAt: next.createdAt };
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
    const isOfLaterEra = eraOf(order.revision) > eraOf(stored.revision);
    return order.targetVersion === stored.targetVersion && (order.createdAt === stored.createdAt || isOfLaterEra);
}

function begin(order: RolloutOrder): KnownOrder {
    return { stored: order, createdAt: order.createdAt, reached: order.state };
}

/** An outcome is final, and `running` is never taken back. */
function goOn(order: RolloutOrder, { createdAt, reached }: KnownOrder): KnownOrder {
    const isDecided = reached === "completed" || reached === "rolledBack";
    return { stored: order, createdAt, reached: isDecided ? reached : order.state ?? reached };
}
