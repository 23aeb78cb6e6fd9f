/**
 * The platform's object API, as narrow as the system needs it.
 */

import type { ObjectVersion } from "@chalkdale/core";

/** An object at the platform. */
export interface StoredObject {
    readonly key: string;
    /** Raised by the platform at every change of any object. */
    readonly version: ObjectVersion;
    readonly value: unknown;
}

/** How a call ended. */
export type PlatformOutcome<Value> =
    /** It took effect. */
    | { readonly kind: "done"; readonly value: Value; }
    /** The object is of another version, or exists already; nothing was written. */
    | { readonly kind: "conflict"; }
    /** There is no such object. */
    | { readonly kind: "absent"; }
    /** The platform did not take the call; nothing was written. */
    | { readonly kind: "unavailable"; readonly reason: string; }
    /** The answer was lost; a write may have taken effect. */
    | { readonly kind: "unknown"; readonly reason: string; };

/** Bounds of one call. */
export interface CallOptions {
    /** Milliseconds until the call is given up. */
    readonly timeout: number;
    readonly signal: AbortSignal;
}

/** What a watch brought. */
export interface WatchBatch {
    /** Objects that changed, newest state of each. */
    readonly objects: readonly StoredObject[];
    /** Version to watch from next. */
    readonly version: ObjectVersion;
}

/** The platform. Calls never throw; an abort ends as `unavailable` or, for writes, `unknown`. */
export interface Platform {
    readonly get: (key: string, options: CallOptions) => Promise<PlatformOutcome<StoredObject>>;
    /** Returns the objects whose key has a prefix. */
    readonly list: (prefix: string, options: CallOptions) => Promise<PlatformOutcome<WatchBatch>>;
    readonly create: (key: string, value: unknown, options: CallOptions) => Promise<PlatformOutcome<StoredObject>>;
    /** Writes only if the object still has the version. */
    readonly update: (
        key: string,
        version: ObjectVersion,
        value: unknown,
        options: CallOptions,
    ) => Promise<PlatformOutcome<StoredObject>>;
    /** Waits for changes after a version below a prefix; an empty batch when none came in time. */
    readonly watch: (
        prefix: string,
        from: ObjectVersion,
        options: CallOptions,
    ) => Promise<PlatformOutcome<WatchBatch>>;
}

/** Keys of the objects that the system keeps. */
export const objectKeys = {
    /** Below it is what boxes watch. */
    watched: "config/",
    settings: "config/settings",
    members: (zone: string) => `config/members/${zone}`,
    capacity: "lease/capacity",
    lastShares: "state/shares",
} as const;
