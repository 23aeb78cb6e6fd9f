/**
 * Times of the membership protocol: gossip rounds, failure timeouts, message delays.
 *
 * Owns no state. Times in milliseconds.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Time between two gossip rounds; in each round some box probes a lost member. */
export const gossipInterval = milliseconds(300);
/** Time after which all boxes of a region count as failed if no box has heard from the region: 13 rounds. */
export const regionFailureTimeout = milliseconds(3900);
/** Time for which a failed box still gets messages, in case it was only disconnected. */
export const gossipToFailedTime = milliseconds(120_000);

/**
 * Rounds for the suspected box to learn of a suspicion and refute it. They are added to the rounds in which an update
 * reaches the whole fleet, the logarithm of its size. Together 7 rounds with 9 boxes, 11 with 195, 13 with 740: 2.1,
 * 3.3 and 3.9 s.
 */
const refutationRounds = 3;

/** Returns the time after which a suspected box counts as failed in a fleet of `boxes`. */
export function suspicionTimeout(boxes: number): Milliseconds {
    return milliseconds(gossipInterval * (refutationRounds + Math.ceil(Math.log2(boxes))));
}

/** Added to the logarithm of the fleet's size for the number of messages in which each box sends an update. */
const baseRetransmits = 12;

/** Returns the number of messages in which each box sends an update, so that it reaches a whole fleet of `boxes`. */
export function retransmitLimit(boxes: number): number {
    return baseRetransmits + Math.ceil(Math.log2(boxes));
}

/** Maximum delay of a message between regions, in milliseconds. It is added to all ages that a message reports. */
export const maxMessageDelay = 100;
