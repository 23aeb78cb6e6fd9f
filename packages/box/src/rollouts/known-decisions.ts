/**
 * Decisions on roll-outs that this box made or heard of, before or besides the
 * store.
 *
 * Owns them for as long as the process runs, the latest ones; relies on whoever
 * asks to prefer what the store says.
 */

import { isSameRollout, type RolloutDecision, type RolloutId } from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";

/**
 * Milliseconds for which news is repeated in gossip: 17 rounds reach every box of 740 several times. While the store does not
 * have the outcome it goes on: a box that was cut off, or has just started, would else take part in a trial that is over.
 */
const repeatedFor = milliseconds(5000);
/** Decisions that are remembered, some 400 bytes each. */
const mostRemembered = 64;
/** News in one datagram: each is at most 400 bytes, and gossip must stay below 8 KB. */
const mostTold = 4;

/** The decisions that a box knows. */
export interface KnownDecisions {
    /** Takes a decision; true if it is the first one on this order. */
    readonly add: (news: RolloutDecision) => boolean;
    readonly decisionOf: (rollout: RolloutId) => RolloutDecision["decision"] | undefined;
    readonly find: (rollout: RolloutId) => RolloutDecision | undefined;
    /** What is to be told on now. */
    readonly dueForGossip: () => readonly RolloutDecision[];
}

/** Creates it without any. `isOpen`: the store has no outcome of the order. */
export function createKnownDecisions(clock: Clock, isOpen: (rollout: RolloutId) => boolean): KnownDecisions {
    let known: { readonly news: RolloutDecision; readonly at: Milliseconds; }[] = [];
    const find = (rollout: RolloutId) => known.find(({ news }) => isSameRollout(news.rollout, rollout))?.news;

    return {
        add(news) {
            if (find(news.rollout) !== undefined) {
                return false;
            }
            known = [{ news, at: clock() }, ...known].slice(0, mostRemembered);
            return true;
        },
        decisionOf: rollout => find(rollout)?.decision,
        find,
        dueForGossip: () =>
            known.filter(({ at, news }) => clock() - at < repeatedFor || isOpen(news.rollout))
                .slice(0, mostTold)
                .map(({ news }) => news),
    };
}
