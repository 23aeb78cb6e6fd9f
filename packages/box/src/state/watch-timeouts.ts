/**
 * Timeouts of watches of the store. A watch that other boxes wait for times out early; any other one times out once
 * no box has confirmed the replica in time. The connection of an unanswered watch may no longer work.
 *
 * Owns the number of consecutive urgent watches that timed out, by kind; relies on the age of the replica, and on the
 * owner of the watch to start another one.
 */

import { type SharedKind, watchOverdueAfter } from "@chalkdale/decisions";

/**
 * Timeouts in milliseconds of consecutive urgent watches; after each, the next watch takes another connection. Later
 * ones have only the timeout of the call itself, as the store may just be slow. The second timeout is 0.3 s longer than
 * the first: a second connection that doesn't work thus delays a change by 0.6 s instead of by the 1.5 s of a call.
 */
const urgentTimeouts: readonly number[] = [watchOverdueAfter, 2 * watchOverdueAfter];

/** What the timeouts depend on. */
export interface WatchTimeoutsOptions {
    /** Milliseconds since the store confirmed the replica, to this box or to another one. */
    readonly ageOf: (kind: SharedKind) => number;
    /** Age of the replica, in milliseconds, at which a watch that isn't urgent times out. */
    readonly reconnectAfterAge: (kind: SharedKind) => number;
    /** Called when a watch that isn't urgent times out, with the age of the replica. */
    readonly onTimeout: (kind: SharedKind, age: number) => void;
}

/** The timeouts of one box's watches. */
export interface WatchTimeouts {
    /** Starts the timeout of a watch, which aborts the controller; returns the function that cancels the timeout. */
    readonly limit: (kind: SharedKind, controller: AbortController, isUrgent: boolean) => () => void;
    /** To be called when the store has answered a watch of the kind. */
    readonly onAnswered: (kind: SharedKind) => void;
}

/** Creates the timeouts of one box, without timed-out watches. */
export function createWatchTimeouts(options: WatchTimeoutsOptions): WatchTimeouts {
    const timedOutCounts = new Map<SharedKind, number>();

    return {
        limit: (kind, controller, isUrgent) => isUrgent ? startUrgent(kind, controller) : startByAge(kind, controller),
        onAnswered: kind => timedOutCounts.delete(kind),
    };

    function startUrgent(kind: SharedKind, controller: AbortController): () => void {
        const timedOutBefore = timedOutCounts.get(kind) ?? 0;
        if (timedOutBefore >= urgentTimeouts.length) {
            return () => undefined;
        }
        const timer = setTimeout(() => {
            timedOutCounts.set(kind, timedOutBefore + 1);
            controller.abort();
        }, urgentTimeouts[timedOutBefore]);
        return () => clearTimeout(timer);
    }

    /** The timeout restarts whenever the replica is confirmed, also to another box. */
    function startByAge(kind: SharedKind, controller: AbortController): () => void {
        let timer: NodeJS.Timeout;
        check();
        return () => clearTimeout(timer);

        function check(): void {
            const remaining = options.reconnectAfterAge(kind) - options.ageOf(kind);
            if (remaining > 0) {
                timer = setTimeout(check, remaining);
                return;
            }
            options.onTimeout(kind, options.ageOf(kind));
            controller.abort();
        }
    }
}
