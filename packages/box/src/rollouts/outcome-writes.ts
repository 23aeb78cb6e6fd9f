/**
 * Who writes an order's state besides its decider: a box that the decider asks,
 * as the store turns the decider away, and the decider's successor, when news of an
 * outcome was told and the store does not have it.
 *
 * Owns no state; relies on the writer, and on the store's revision for one outcome.
 */

import { isSameRollout, type RolloutId, type RolloutOrder } from "@chalkdale/decisions";
import type { Milliseconds, ServiceId } from "@chalkdale/kernel";
import type { DecidingBoxLocator } from "./deciding-box-locator.js";
import type { KnownDecisions } from "./known-decisions.js";
import type { NewestOrders } from "./newest-orders.js";
import { decodeWriteRequest, type WriteRequestEntry } from "./rollout-messages.js";
import type { RolloutWriter } from "./rollout-writer.js";

export interface OutcomeWritesOptions {
    readonly writer: RolloutWriter;
    readonly orders: Pick<NewestOrders, "of">;
    readonly news: Pick<KnownDecisions, "decisionOf">;
    readonly decidingBox: Pick<DecidingBoxLocator, "isSelf">;
    /** Time since the store confirmed the copy of the orders, to this box or through another; undefined if it never did. */
    readonly copyAge: () => Milliseconds | undefined;
    /** False while this box calls the store and it does not answer. */
    readonly isStoreAnswering: () => boolean;
}

/** The writes of one box that its deciders do not ask for. */
export interface OutcomeWrites {
    /** True while some box can write, this one or others. */
    readonly isStoreReachable: (service: ServiceId) => boolean;
    /** True for an order whose outcome the store has. */
    readonly isDecidedInStore: (rollout: RolloutId) => boolean;
    /** Writes what the deciding box can't, as long as the order is the one that it knew. */
    readonly writeOnRequest: (entry: WriteRequestEntry) => void;
    /**
     * A decider may end between its news and its write, and the store may lose what was written; then boxes report no more, and whoever
     * decides goes by the news.
     */
    readonly writeKnownDecision: (order: RolloutOrder) => void;
}

/**
 * Age in milliseconds up to which a copy that others confirmed shows that the store answers them, while it turns this box away.
 */
const freshCopy = 2000;

/** Creates the writes. */
export function createOutcomeWrites(options: OutcomeWritesOptions): OutcomeWrites {
    const { decidingBox, news, orders, writer } = options;

    return {
        isStoreReachable: service =>
            options.isStoreAnswering() && !writer.isFailing(service) || (options.copyAge() ?? Infinity) < freshCopy,
        isDecidedInStore,
        writeOnRequest(entry) {
            const { rollout, state } = decodeWriteRequest(entry);
            const order = orders.of(rollout.service);
            if (order === undefined || !isSameRollout(order, rollout) || isDecidedInStore(rollout)) {
                return;
            }
            // A message that was overtaken by the news of a roll-back must not complete the order.
            if (state !== "completed" || news.decisionOf(order) !== "rolledBack") {
                writer.write(order, state);
            }
        },
        writeKnownDecision(order) {
            const decision = news.decisionOf(order);
            if (decision !== undefined && !isDecidedInStore(order) && decidingBox.isSelf(order.service)) {
                writer.write(order, decision);
            }
        },
    };

    function isDecidedInStore(rollout: RolloutId): boolean {
        const order = orders.of(rollout.service);
        return order !== undefined && isSameRollout(order, rollout)
            && (order.state === "completed" || order.state === "rolledBack");
    }
}
