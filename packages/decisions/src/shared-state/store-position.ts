/**
 * Where in the store's history something stands, as one number: the epoch first, and
 * within it the store's own revision.
 *
 * A store that comes back from an older copy gives its revisions out again, in a
 * new epoch. Positions go on rising, so that copies, digests and changes are
 * compared as plain numbers. In epoch 0, that of a store which tells none, a position is the revision itself.
 *
 * Owns nothing. What boxes call a revision is a position everywhere but in the calls of the store.
 */

/** Revisions of one epoch: enough for 50 years of 690 changes a second. */
const revisionsOfEpoch = 2 ** 40;
/** Eras that fit into a number beside them. */
const mostEpochs = 2 ** 13;

/** Returns the position of a revision; undefined for what is none. */
export function storePosition(epoch: number, revision: number): number | undefined {
    const isInRange = isBelow(epoch, mostEpochs) && isBelow(revision, revisionsOfEpoch);
    return isInRange ? epoch * revisionsOfEpoch + revision : undefined;
}

/** Returns the epoch of a position. */
export function epochOf(position: number): number {
    return Math.floor(position / revisionsOfEpoch);
}

/** Returns the store's own revision within the epoch. */
export function revisionInEpoch(position: number): number {
    return position % revisionsOfEpoch;
}

/** Returns a position as lines show it: the revision, after the epoch where the store tells one. */
export function describePosition(position: number): string {
    const epoch = epochOf(position);
    const revision = String(revisionInEpoch(position));
    return epoch === 0 ? revision : `${epoch}/${revision}`;
}

function isBelow(value: number, end: number): boolean {
    return value >= 0 && value < end;
}
