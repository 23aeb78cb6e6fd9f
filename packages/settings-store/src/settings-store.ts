/**
 * Interface of the store that keeps the operators' settings tree as one object
 * with conditional updates. It has only the calls that the command line needs.
 *
 * Owns the key of the tree; relies on the store to increase versions and to check
 * conditions. Boxes do not read this store.
 */

import type { ObjectVersion } from "@chalkdale/kernel";

/** An object in the store. */
export interface StoredObject {
    readonly key: string;
    /** Increased by the store with each change of any object. */
    readonly version: ObjectVersion;
    readonly value: unknown;
}

/** How a call ended. */
export type StoreOutcome<Value> =
    /** It took effect. */
    | { readonly kind: "done"; readonly value: Value; }
    /** The object has another version, or exists already; nothing was written. */
    | { readonly kind: "conflict"; }
    /** There is no such object. */
    | { readonly kind: "absent"; }
    /** The store was not reached or rejected the call; nothing was written. */
    | { readonly kind: "unavailable"; readonly reason: string; }
    /** The answer was lost; a write may have taken effect. */
    | { readonly kind: "unknown"; readonly reason: string; };

/** Bounds of one call. */
export interface CallOptions {
    /** Milliseconds. */
    readonly timeout: number;
    /** Aborts the call. */
    readonly signal: AbortSignal;
}

/** The store. Calls never throw; an aborted call ends as `unavailable` or, if it may have written, as `unknown`. */
export interface SettingsStore {
    readonly get: (key: string, options: CallOptions) => Promise<StoreOutcome<StoredObject>>;
    readonly create: (key: string, value: unknown, options: CallOptions) => Promise<StoreOutcome<StoredObject>>;
    /** Writes only if the object's version is the one given. */
    readonly update: (
        key: string,
        version: ObjectVersion,
        value: unknown,
        options: CallOptions,
    ) => Promise<StoreOutcome<StoredObject>>;
}

/** Key of the settings tree. */
export const treeKey = "config/settings";
