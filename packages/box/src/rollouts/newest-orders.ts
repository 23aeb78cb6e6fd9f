/**
 * The newest that a box knows of each order: its copy of the shared state, or
 * what the store answered to its own write, which the copy has only later.
 *
 * Owns what the store answered; the copy belongs to the shared state.
 */

import type { RolloutOrder } from "@chalkdale/decisions";
import type { ServiceId } from "@chalkdale/kernel";

/** Orders by service. */
export interface NewestOrders {
    readonly of: (service: ServiceId) => RolloutOrder | undefined;
    readonly all: () => readonly RolloutOrder[];
    /** The copy has changed; these are all of its orders. */
    readonly onCopyChanged: (orders: readonly RolloutOrder[]) => void;
    /** The store answered that it has the order so; undefined: that there is none. */
    readonly onStored: (service: ServiceId, order: RolloutOrder | undefined) => void;
}

interface StoredOrder {
    readonly order: RolloutOrder | undefined;
    /** The copy's order at that time. */
    readonly copied: RolloutOrder | undefined;
}

/** Creates it without orders; `identify` returns an order under the identity by which boxes know it. */
export function createNewestOrders(identify: (order: RolloutOrder) => RolloutOrder): NewestOrders {
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
        return order && identify(order);
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
