/**
 * The durable store of shared state, as a box uses it.
 *
 * Owns nothing; `platform/` implements it.
 */

import type {
    ItemChange,
    MemberRecord,
    RolloutOrder,
    RolloutState,
    SharedItems,
    SharedKind,
    Snapshot,
} from "@chalkdale/decisions";
import type { Milliseconds, ServiceId } from "@chalkdale/kernel";

/** Result of a watch. */
export type WatchOutcome<Item> =
    | { readonly kind: "changes"; readonly changes: readonly ItemChange<Item>[]; readonly revision: number; }
    /** The store no longer has the changes after the revision: the whole list must be read. */
    | { readonly kind: "historyLost"; };

/**
 * Consistency of a list. One that may be some seconds old costs a tenth of the price and doesn't count towards the
 * store's rate limit.
 */
export type ListConsistency = "newest" | "mayBeOld";

/** Reads, watches and writes of the store. Every call rejects with a `StoreError` when it fails. */
export interface StateStore {
    readonly list: <Kind extends SharedKind>(
        kind: Kind,
        age: ListConsistency,
        signal: AbortSignal,
    ) => Promise<Snapshot<SharedItems[Kind]>>;
    /**
     * Waits for changes after `since`. Resolves as soon as there is one; otherwise, without changes, after `wait` (by
     * default the store's own limit).
     */
    readonly watch: <Kind extends SharedKind>(
        kind: Kind,
        since: number,
        signal: AbortSignal,
        wait?: Milliseconds,
    ) => Promise<WatchOutcome<SharedItems[Kind]>>;
    /** Writes this box's record, replacing that of an earlier incarnation. */
    readonly registerBox: (record: MemberRecord, signal: AbortSignal) => Promise<void>;
    /**
     * Writes the state of a roll-out order if the order hasn't changed since `order` was read. Returns the order as the
     * store has it afterwards, whichever box wrote it; undefined if it no longer exists. After an error the write may
     * have been applied, or may still be applied later if its condition holds then.
     */
    readonly writeRolloutState: (
        order: RolloutOrder,
        state: RolloutState,
        signal: AbortSignal,
    ) => Promise<RolloutOrder | undefined>;
    /** Returns the newest order of a service; undefined if there is none. */
    readonly readRollout: (service: ServiceId, signal: AbortSignal) => Promise<RolloutOrder | undefined>;
    /** Returns the records of all registered boxes. */
    readonly listBoxes: (age: ListConsistency, signal: AbortSignal) => Promise<readonly MemberRecord[]>;
}

/**
 * Why a call of the store failed, in this order: the connection failed; no answer came in time; the answer had an error
 * status, or the store was restored meanwhile; the answer couldn't be read.
 */
export type StoreFailure = "unreachable" | "silent" | "refused" | "unreadable";

/** Thrown when a call of the store fails. */
export class StoreError extends Error {
    constructor(readonly failure: StoreFailure, detail: string) {
        super(`store ${failure}: ${detail}`);
    }
}
