/**
 * How long a watch of the store may go without an answer: one that somebody waits for is given
 * up soon, another one once nobody has confirmed the copy in time.
 *
 * Owns how many urgent watches in a row were given up, by kind; relies on the age of
 * the copy, and on the owner of the watch to ask anew.
 */

import { type SharedKind, watchOverdueAfter } from "@chalkdale/decisions";

/**
 * Milliseconds after which urgent watches in a row are given up for another connection; later ones have the call's own time, for
 * a store that is slow. A second silence then costs a change 0.3 s more, and not the 1.5 s of a call.
 */
const urgentLimits: readonly number[] = [watchOverdueAfter, 2 * watchOverdueAfter];

export interface WatchTimeoutsOptions {
    /** Time since the store confirmed the copy, to this box or through another. */
    readonly ageOf: (kind: SharedKind) => number;
    /** Age of the copy from which a watch is given up. */
    readonly reconnectAfterAge: (kind: SharedKind) => number;
    /** A watch is given up, since the copy is as old as that. */
    readonly onTimeout: (kind: SharedKind, age: number) => void;
}

/** The patience of one box. */
export interface WatchTimeouts {
    /** Aborts a watch once its time is over; returns the function that keeps it. */
    readonly limit: (kind: SharedKind, controller: AbortController, isUrgent: boolean) => () => void;
    /** The store has answered a watch of the kind. */
    readonly onAnswered: (kind: SharedKind) => void;
}

/** Creates it; no watch was given up. */
export function createWatchTimeouts(options: WatchTimeoutsOptions): WatchTimeouts {
    const givenUp = new Map<SharedKind, number>();

    return {
        limit: (kind, controller, isUrgent) =>
            isUrgent ? limitUrgent(kind, controller) : limitUnconfirmed(kind, controller),
        onAnswered: kind => givenUp.delete(kind),
    };

    function limitUrgent(kind: SharedKind, controller: AbortController): () => void {
        const before = givenUp.get(kind) ?? 0;
        if (before >= urgentLimits.length) {
            return () => undefined;
        }
        const timer = setTimeout(() => {
            givenUp.set(kind, before + 1);
            controller.abort();
        }, urgentLimits[before]);
        return () => clearTimeout(timer);
    }

    /** Unless others confirm the copy before. */
    function limitUnconfirmed(kind: SharedKind, controller: AbortController): () => void {
        let timer: NodeJS.Timeout;
        check();
        return () => clearTimeout(timer);

        function check(): void {
            const left = options.reconnectAfterAge(kind) - options.ageOf(kind);
            if (left > 0) {
                timer = setTimeout(check, left);
                return;
            }
            options.onTimeout(kind, options.ageOf(kind));
            controller.abort();
        }
    }
}
