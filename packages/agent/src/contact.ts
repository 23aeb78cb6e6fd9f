/**
 * When this box was last in touch with anyone else.
 *
 * Only an answer counts, and it counts from when its question was sent: what
 * a paused process finds in its buffers proves nothing about now.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/core";

/** The latest proof of contact. */
export interface Contact {
    /** Notes that a question sent at a time was answered. */
    readonly note: (sentAt: Milliseconds) => void;
    /** Returns milliseconds for which the floor may still be used; 0 without contact. */
    readonly remaining: (isolationTime: Milliseconds) => Milliseconds;
}

/** Creates a record without any contact. */
export function createContact(clock: Clock): Contact {
    let latest = milliseconds(-Infinity);
    return {
        note(sentAt) {
            latest = milliseconds(Math.max(latest, sentAt));
        },
        remaining: isolationTime => milliseconds(Math.max(0, latest + isolationTime - clock())),
    };
}
