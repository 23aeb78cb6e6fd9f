/**
 * Remembers the decisions on roll-outs that this box made or received from other
 * boxes, also before the store has them.
 *
 * Owns the latest decisions for the lifetime of the process; relies on its callers
 * to prefer the state in the store.
 */

import { isSameRollout, type RolloutDecision, type RolloutId } from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";

/**
 * Milliseconds for which a decision is repeated in gossip: 17 rounds reach every box of 740 several times. It is
 * repeated for longer while the store lacks the outcome; otherwise a box that was cut off, or has just started, would
 * take part in a trial that has ended.
 */
const gossipDuration = milliseconds(5000);
/** Maximum decisions that are remembered, about 400 bytes each. */
const maxRemembered = 64;
/** Maximum decisions in one datagram: each takes up to 400 bytes, and gossip must stay below 8 KB. */
const maxGossiped = 4;

/** The decisions that a box knows. */
export interface KnownDecisions {
    /** Remembers a decision; true if it is the first one on this order. Later ones are ignored. */
    readonly add: (decision: RolloutDecision) => boolean;
    readonly decisionOf: (rollout: RolloutId) => RolloutDecision["decision"] | undefined;
    readonly find: (rollout: RolloutId) => RolloutDecision | undefined;
    /** Decisions to repeat in gossip now. */
    readonly dueForGossip: () => readonly RolloutDecision[];
}

/**
 * Creates an empty set of decisions.
 *
 * @param isOpen true while the store has no outcome of the order
 */
export function createKnownDecisions(clock: Clock, isOpen: (rollout: RolloutId) => boolean): KnownDecisions {
    let known: { readonly decision: RolloutDecision; readonly at: Milliseconds; }[] = [];
    const find = (rollout: RolloutId) =>
        known.find(({ decision }) => isSameRollout(decision.rollout, rollout))?.decision;

    return {
        add(decision) {
            if (find(decision.rollout) !== undefined) {
                return false;
            }
            known = [{ decision, at: clock() }, ...known].slice(0, maxRemembered);
            return true;
        },
        decisionOf: rollout => find(rollout)?.decision,
        find,
        dueForGossip: () =>
            known.filter(({ at, decision }) => clock() - at < gossipDuration || isOpen(decision.rollout))
                .slice(0, maxGossiped)
                .map(({ decision }) => decision),
    };
}
