/**
 * A value that is computed anew only when it has grown old.
 *
 * Owns the last value; relies on the clock that is handed in.
 */

import type { Clock, Milliseconds } from "@chalkdale/kernel";

/** Returns a function that gives the value, computed at most `lifetime` ago. */
export function createTimedCache<Value>(clock: Clock, lifetime: Milliseconds, compute: () => Value): () => Value {
    let cached: { readonly value: Value; readonly at: Milliseconds; } | undefined;

    return () => {
        if (cached === undefined || clock() - cached.at >= lifetime) {
            cached = { value: compute(), at: clock() };
        }
        return cached.value;
    };
}
