/**
 * Writes the states of orders that this box's own deciders do not write, in two
 * cases: a deciding box that the store does not serve asks this box to write, or
 * this box has become the deciding box and the store lacks an announced outcome.
 *
 * Owns no state; relies on the writer, and on the store's revisions, by which only
 * one outcome is written.
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
    readonly knownDecisions: Pick<KnownDecisions, "decisionOf">;
    readonly decidingBoxLocator: Pick<DecidingBoxLocator, "isSelf">;
    /**
     * Time since the store confirmed the copy of the orders, directly or through another box; undefined if it never
     * did.
     */
    readonly copyAge: () => Milliseconds | undefined;
    /** False while this box follows the store itself and gets no answers. */
    readonly isStoreAnswering: () => boolean;
}

/** The writes of one box besides those of its deciders. */
export interface OutcomeWrites {
    /** True while this box or another one can write. */
    readonly isStoreReachable: (service: ServiceId) => boolean;
    /** True if the store has an outcome of the order. */
    readonly isDecidedInStore: (rollout: RolloutId) => boolean;
    /** Writes a state on request of the deciding box, if the order is still the one in the request. */
    readonly writeOnRequest: (entry: WriteRequestEntry) => void;
    /**
     * Writes the known decision on an order if the store lacks it and this box is the deciding box. A deciding box may
     * fail between its announcement and its write, and the store may lose a written outcome; boxes no longer report on
     * a decided order by then, so the deciding box relies on the decision that it knows.
     */
    readonly writeKnownDecision: (order: RolloutOrder) => void;
}

/**
 * Age in milliseconds below which the copy of the orders shows that the store serves other boxes, even if it does not
 * serve this one.
 */
const maxFreshCopyAge = 2000;

/** Creates the outcome writes of one box. */
export function createOutcomeWrites(options: OutcomeWritesOptions): OutcomeWrites {
    const { decidingBoxLocator, knownDecisions, orders, writer } = options;

    return {
        isStoreReachable: service =>
            options.isStoreAnswering() && !writer.isFailing(service)
            || (options.copyAge() ?? Infinity) < maxFreshCopyAge,
        isDecidedInStore,
        writeOnRequest(entry) {
            const { rollout, state } = decodeWriteRequest(entry);
            const order = orders.of(rollout.service);
            if (order === undefined || !isSameRollout(order, rollout) || isDecidedInStore(rollout)) {
                return;
            }
            // A request that arrives after the announcement of a roll-back must not complete the order.
            if (state !== "completed" || knownDecisions.decisionOf(order) !== "rolledBack") {
                writer.write(order, state);
            }
        },
        writeKnownDecision(order) {
            const decision = knownDecisions.decisionOf(order);
            if (decision !== undefined && !isDecidedInStore(order) && decidingBoxLocator.isSelf(order.service)) {
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
