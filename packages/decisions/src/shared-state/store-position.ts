/**
 * A position in the store's history as one number, made of the epoch and the store's
 * own revision within the epoch.
 *
 * A store that is restored from a backup assigns the same revisions again, in a new
 * epoch. Positions still only increase, so replicas, digests and changes can be
 * compared as plain numbers. A store that reports no epoch is in epoch 0, in which
 * a position equals the revision.
 *
 * Owns nothing. Everywhere but in calls to the store, what boxes call a revision is a position.
 */

/** Revisions in one epoch: enough for 50 years at 690 changes per second. */
const revisionsPerEpoch = 2 ** 40;
/** Number of epochs; with 2 ** 40 revisions each, every position is a safe integer. */
const maxEpochs = 2 ** 13;

/** Returns the position of a revision; undefined if the epoch or the revision is out of range. */
export function storePosition(epoch: number, revision: number): number | undefined {
    const isInRange = isBelow(epoch, maxEpochs) && isBelow(revision, revisionsPerEpoch);
    return isInRange ? epoch * revisionsPerEpoch + revision : undefined;
}

/** Returns the epoch of a position. */
export function epochOf(position: number): number {
    return Math.floor(position / revisionsPerEpoch);
}

/** Returns the store's own revision within the epoch. */
export function revisionInEpoch(position: number): number {
    return position % revisionsPerEpoch;
}

/** Formats a position for log lines: the revision, preceded by the epoch if the store reports one. */
export function describePosition(position: number): string {
    const epoch = epochOf(position);
    const revision = String(revisionInEpoch(position));
    return epoch === 0 ? revision : `${epoch}/${revision}`;
}

function isBelow(value: number, limit: number): boolean {
    return value >= 0 && value < limit;
}
