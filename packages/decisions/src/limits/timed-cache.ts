/**
 * A value that is computed again only after a given lifetime.
 *
 * Owns the last value; relies on the given clock.
 */

import type { Clock, Milliseconds } from "@chalkdale/kernel";

/** Returns a function that returns the value, computed less than `lifetime` ago. */
export function createTimedCache<Value>(clock: Clock, lifetime: Milliseconds, compute: () => Value): () => Value {
    let cached: { readonly value: Value; readonly at: Milliseconds; } | undefined;

    return () => {
        if (cached === undefined || clock() - cached.at >= lifetime) {
            cached = { value: compute(), at: clock() };
        }
        return cached.value;
    };
}
