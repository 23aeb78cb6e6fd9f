/**
 * The newest known version of each order: from the box's copy of the shared state,
 * or from the store's answer to one of its own writes, which reaches the copy later.
 *
 * Owns the store's answers; the copy belongs to the shared state.
 */

import type { RolloutOrder } from "@chalkdale/decisions";
import type { ServiceId } from "@chalkdale/kernel";

/** The newest known order of each service. */
export interface NewestOrders {
    readonly of: (service: ServiceId) => RolloutOrder | undefined;
    readonly all: () => readonly RolloutOrder[];
    /** Takes all orders of the copy after it has changed. */
    readonly onCopyChanged: (orders: readonly RolloutOrder[]) => void;
    /** Takes the order that the store answered with; undefined if it has none. */
    readonly onStored: (service: ServiceId, order: RolloutOrder | undefined) => void;
}

interface StoredOrder {
    readonly order: RolloutOrder | undefined;
    /** The order in the copy at the time of the answer. */
    readonly copied: RolloutOrder | undefined;
}

/**
 * Creates an empty set of orders.
 *
 * @param withKnownIdentity returns an order under the identity by which boxes know it, see `OrderHistory`
 */
export function createNewestOrders(withKnownIdentity: (order: RolloutOrder) => RolloutOrder): NewestOrders {
    let copy = new Map<ServiceId, RolloutOrder>();
    const stored = new Map<ServiceId, StoredOrder>();

    return {
        of,
        all: () => [...copy.keys()].map(of).filter(order => order !== undefined),
        onCopyChanged(orders) {
            copy = new Map(orders.map(order => [order.service, order]));
            [...stored.keys()].filter(service => !copy.has(service)).forEach(service => stored.delete(service));
        },
        onStored(service, order) {
            stored.set(service, { order, copied: copy.get(service) });
        },
    };

    function of(service: ServiceId): RolloutOrder | undefined {
        const order = newestOf(service);
        return order && withKnownIdentity(order);
    }

    function newestOf(service: ServiceId): RolloutOrder | undefined {
        const copied = copy.get(service);
        const answer = stored.get(service);
        if (copied === undefined || answer === undefined) {
            return copied;
        }
        if (answer.order === undefined) {
            return copied === answer.copied ? undefined : copied;
        }
        return answer.order.revision > copied.revision ? answer.order : copied;
    }
}
