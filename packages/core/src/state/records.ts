/**
 * Cache of versioned records, the state that boxes pass on to each other.
 *
 * A record has a key, a sequence number that its source raises at every
 * change, and an age. A record replaces another of the same key only with a
 * higher sequence, so that nothing on a box ever goes back to an older state,
 * in whatever order and by whatever way copies arrive. It is a cache: what
 * must last is at the platform, and a box that starts has nothing here.
 */

import type { Milliseconds } from "../kernel/ids.js";
import { milliseconds } from "../kernel/ids.js";

/** A record as it is handed from box to box. */
export interface RecordCopy<Payload> {
    readonly key: string;
    readonly sequence: number;
    /** Milliseconds since its source made it. */
    readonly age: number;
    readonly payload: Payload;
}

/** What the cache does with records of one kind. */
export interface RecordPolicy {
    /** Milliseconds after which a record is dropped; undefined to keep it for ever. */
    readonly lifetime: number | undefined;
}

/** The cache of one process. */
export interface RecordCache<Payload> {
    /** Takes copies in; returns those that are newer than what was held. */
    readonly merge: (copies: readonly RecordCopy<Payload>[], at: Milliseconds) => RecordCopy<Payload>[];
    /** Returns the copy of a key with its age at the time, or undefined. */
    readonly get: (key: string, at: Milliseconds) => RecordCopy<Payload> | undefined;
    /** Returns all copies whose key has a prefix, with their ages at the time. */
    readonly list: (prefix: string, at: Milliseconds) => RecordCopy<Payload>[];
    /** Drops what has outlived its policy and returns the keys. */
    readonly expire: (at: Milliseconds) => string[];
}

interface Held<Payload> {
    readonly copy: RecordCopy<Payload>;
    /** Time at which the source made it, on this process's clock. */
    readonly madeAt: Milliseconds;
}

/** Creates an empty cache. */
export function createRecordCache<Payload>(policyOf: (key: string) => RecordPolicy): RecordCache<Payload> {
    const records = new Map<string, Held<Payload>>();

    return {
        merge: (copies, at) => copies.filter(copy => take(copy, at)),
        get(key, at) {
            const held = records.get(key);
            return held === undefined ? undefined : aged(held, at);
        },
        list(prefix, at) {
            return [...records.values()]
                .filter(held => held.copy.key.startsWith(prefix))
                .map(held => aged(held, at));
        },
        expire(at) {
            const dropped = [...records.values()].filter(held => isExpired(held, at)).map(held => held.copy.key);
            for (const key of dropped) {
                records.delete(key);
            }
            return dropped;
        },
    };

    function take(copy: RecordCopy<Payload>, at: Milliseconds): boolean {
        const held = records.get(copy.key);
        if (held !== undefined && held.copy.sequence >= copy.sequence) {
            return false;
        }
        const next = { copy, madeAt: milliseconds(at - copy.age) };
        if (isExpired(next, at)) {
            return false;
        }
        records.set(copy.key, next);
        return true;
    }

    function isExpired(held: Held<Payload>, at: Milliseconds): boolean {
        const { lifetime } = policyOf(held.copy.key);
        return lifetime !== undefined && at - held.madeAt > lifetime;
    }

    function aged(held: Held<Payload>, at: Milliseconds): RecordCopy<Payload> {
        return { ...held.copy, age: Math.max(0, at - held.madeAt) };
    }
}
