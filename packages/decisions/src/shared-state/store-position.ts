/**
 * Where in the store's history something stands, as one number: the era first, and
 * within it the store's own revision.
 *
 * A store that comes back from an older copy gives its revisions out again, in a
 * new era. Positions go on rising, so that copies, digests and changes are
 * compared as plain numbers. In era 0, that of a store which tells none, a position is the revision itself.
 *
 * Owns nothing. What boxes call a revision is a position everywhere but in the calls of the store.
 */

/** Revisions of one era: enough for 50 years of 690 changes a second. */
const revisionsOfEra = 2 ** 40;
/** Eras that fit into a number beside them. */
const mostEras = 2 ** 13;

/** Returns the position of a revision; undefined for what is none. */
export function storePosition(era: number, revision: number): number | undefined {
    const isInRange = isBelow(era, mostEras) && isBelow(revision, revisionsOfEra);
    return isInRange ? era * revisionsOfEra + revision : undefined;
}

/** Returns the era of a position. */
export function eraOf(position: number): number {
    return Math.floor(position / revisionsOfEra);
}

/** Returns the store's own revision within the era. */
export function revisionWithin(position: number): number {
    return position % revisionsOfEra;
}

/** Returns a position as lines show it: the revision, after the era where the store tells one. */
export function describePosition(position: number): string {
    const era = eraOf(position);
    const revision = String(revisionWithin(position));
    return era === 0 ? revision : `${era}/${revision}`;
}

function isBelow(value: number, end: number): boolean {
    return value >= 0 && value < end;
}
