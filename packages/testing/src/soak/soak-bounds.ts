/**
 * Bounds within which a change must be in force: those that the users require of boxes
 * connected to the store, and a wider one that holds after any faults of the store or a box.
 */

/**
 * Milliseconds after which a change must be in force at every box once the store answers again, whatever faults
 * came before.
 */
export const inForceWithin = 7000;
/**
 * Milliseconds after the store's answer from which a draining server gets nothing from a connected box; the
 * users' bound `drain`.
 */
export const drainedWithin = 2000;
/** The same for a closed availability zone; the users' bound `evacuate`. */
export const closedWithin = 5000;
/**
 * Milliseconds after which a connected box handles new requests under the new configuration; the users' bound
 * `config`.
 */
export const configuredWithin = 3000;
/** Milliseconds without a fault after which a box counts as connected to the store; the users' bound `contact`. */
export const connectedAfter = 4000;
