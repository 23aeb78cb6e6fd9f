/**
 * The bounds within which a change must be in force, as the users state them, and
 * the wider one that holds whatever has happened to the store and to a box.
 *
 * Owns nothing.
 */

/** Milliseconds after which a change must be in force at every box once the store answers again, whatever faults there were before. */
export const inForceWithin = 7000;
/** Milliseconds from the store's answer after which a leaving server gets nothing more from a box in touch with the store. The users' `drain`. */
export const drainedWithin = 2000;
/** The same for a closed availability zone; the users' `evacuate`. */
export const closedWithin = 5000;
/** Milliseconds after which a request is handled by the new configuration at a box in touch with the store. The users' `config`. */
export const configuredWithin = 3000;
/** Milliseconds without a fault after which a box counts as in touch with the store. The users' `contact`. */
export const connectedAfter = 4000;
