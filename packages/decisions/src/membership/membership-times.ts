/**
 * How long boxes wait for each other: rounds, answers, suspicions.
 *
 * Owns no state. Times in milliseconds.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Time between two rounds of questions; a member that is lost is asked by someone in each. */
export const gossipInterval = milliseconds(300);
/** Time without anything from a region, heard by anyone, after which all its boxes count as failed: 13 rounds. */
export const regionFailureTimeout = milliseconds(3900);
/** Time for which messages still go to a failed box, in case it was cut off. */
export const gossipToFailedTime = milliseconds(120_000);

/**
 * Rounds for which a suspicion can be refuted: some for the box to hear of it, and as many as news takes to reach the fleet,
 * which grow with the logarithm of its size. 7 rounds at 9 boxes, 11 at 195, 13 at 740: 2.1, 3.3 and 3.9 s.
 */
const refutationRounds = 3;

/** Returns the time after which a suspected box counts as failed. */
export function suspicionTimeout(boxes: number): Milliseconds {
    return milliseconds(gossipInterval * (refutationRounds + Math.ceil(Math.log2(boxes))));
}

/** Messages beside the logarithm in which each box tells of a piece of news. */
const fewestNewsSends = 12;

/** Returns in how many messages each box tells of a piece of news, so that it reaches all of a fleet. */
export function retransmitLimit(boxes: number): number {
    return fewestNewsSends + Math.ceil(Math.log2(boxes));
}

/** Milliseconds that a message is on its way at most between regions; what others heard is taken to be so much older. */
export const maxMessageDelay = 100;
