/**
 * The attempts that this box has sent on its own connections to servers and that have not ended.
 *
 * Owns the list; shows which servers have been silent, and aborts attempts whose path turns out to be cut.
 */

import type { BackendServer } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";

/** One attempt on a connection of this box. */
interface PendingAttempt {
    readonly server: BackendServer;
    readonly sentAt: Milliseconds;
    /** Ends the attempt so that it can be repeated; undefined if it may not run twice. */
    readonly abort: (() => void) | undefined;
}

/** The pending direct attempts of one box. */
export interface DirectAttempts {
    /** Adds an attempt; returns the function to call when it has ended. */
    readonly begin: (attempt: PendingAttempt) => () => void;
    /** Attempts that were sent at or before a time, the oldest first. */
    readonly sentBefore: (at: Milliseconds) => readonly PendingAttempt[];
    /** Aborts the attempts that `accept` selects and that may run again. */
    readonly abort: (accept: (attempt: PendingAttempt) => boolean) => void;
}

/** Creates an empty list. */
export function createDirectAttempts(): DirectAttempts {
    const pending = new Set<PendingAttempt>();

    return {
        begin(attempt) {
            pending.add(attempt);
            return () => void pending.delete(attempt);
        },
        sentBefore: at => [...pending].filter(({ sentAt }) => sentAt <= at),
        abort(accept) {
            [...pending].filter(accept).forEach(attempt => attempt.abort?.());
        },
    };
}
