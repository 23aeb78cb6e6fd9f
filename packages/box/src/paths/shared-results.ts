/**
 * Results that concurrent callers share, each for one subject.
 *
 * Owns the latest result of each subject that is still in use.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Milliseconds for which a result is shared unless the caller states otherwise. */
export const resultLifetime = milliseconds(500);

/** Shared results by subject. */
export interface SharedResults<Subject extends WeakKey, Value> {
    /** Returns the latest result if it was begun at `notBefore` or later, else that of `start`. */
    readonly get: (subject: Subject, notBefore: Milliseconds, start: () => Promise<Value>) => Promise<Value>;
}

interface SharedResult<Value> {
    readonly value: Promise<Value>;
    readonly startedAt: Milliseconds;
}

/** Creates an empty collection. */
export function createSharedResults<Subject extends WeakKey, Value>(clock: Clock): SharedResults<Subject, Value> {
    const results = new WeakMap<Subject, SharedResult<Value>>();

    return {
        get(subject, notBefore, start) {
            const latest = results.get(subject);
            if (latest !== undefined && latest.startedAt >= notBefore) {
                return latest.value;
            }
            const value = start();
            results.set(subject, { value, startedAt: clock() });
            return value;
        },
    };
}
