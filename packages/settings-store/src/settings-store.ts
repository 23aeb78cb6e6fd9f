/**
 * The store that keeps the operators' settings tree: one object under
 * conditional update, as narrow as the command line needs it.
 *
 * Owns the key of the tree; relies on the store to raise versions and to check
 * conditions. Boxes don't read it.
 */

import type { ObjectVersion } from "@chalkdale/kernel";

/** An object in the store. */
export interface StoredObject {
    readonly key: string;
    /** Raised by the store at every change of any object. */
    readonly version: ObjectVersion;
    readonly value: unknown;
}

/** How a call ended. */
export type StoreOutcome<Value> =
    /** It took effect. */
    | { readonly kind: "done"; readonly value: Value; }
    /** The object is of another version, or exists already; nothing was written. */
    | { readonly kind: "conflict"; }
    /** There is no such object. */
    | { readonly kind: "absent"; }
    /** The store did not take the call; nothing was written. */
    | { readonly kind: "unavailable"; readonly reason: string; }
    /** The answer was lost; a write may have taken effect. */
    | { readonly kind: "unknown"; readonly reason: string; };

/** Bounds of one call. */
export interface CallOptions {
    /** Milliseconds until the call is given up. */
    readonly timeout: number;
    readonly signal: AbortSignal;
}

/** The store. Calls never throw; an abort ends as `unavailable` or, for writes, `unknown`. */
export interface SettingsStore {
    readonly get: (key: string, options: CallOptions) => Promise<StoreOutcome<StoredObject>>;
    readonly create: (key: string, value: unknown, options: CallOptions) => Promise<StoreOutcome<StoredObject>>;
    /** Writes only if the object still has the version. */
    readonly update: (
        key: string,
        version: ObjectVersion,
        value: unknown,
        options: CallOptions,
    ) => Promise<StoreOutcome<StoredObject>>;
}

/** Key of the settings tree. */
export const treeKey = "config/settings";
