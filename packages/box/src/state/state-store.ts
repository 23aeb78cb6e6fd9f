/**
 * The store that keeps what must last, as a box sees it.
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

/** What a watch brought. */
export type WatchOutcome<Item> =
    | { readonly kind: "changes"; readonly changes: readonly ItemChange<Item>[]; readonly revision: number; }
    /** The store no longer knows the changes after the revision: the whole list must be read. */
    | { readonly kind: "historyLost"; };

/** Whether a list may be some seconds old, which the store gives for a tenth of the price and outside its rate. */
export type ListConsistency = "newest" | "mayBeOld";

/** Reads, watches and writes of the store. Every call rejects with a `StoreError` when it fails. */
export interface StateStore {
    readonly list: <Kind extends SharedKind>(
        kind: Kind,
        age: ListConsistency,
        signal: AbortSignal,
    ) => Promise<Snapshot<SharedItems[Kind]>>;
    /** Resolves as soon as there is a change after `since`, or when nothing changed for `wait` or the store's own time. */
    readonly watch: <Kind extends SharedKind>(
        kind: Kind,
        since: number,
        signal: AbortSignal,
        wait?: Milliseconds,
    ) => Promise<WatchOutcome<SharedItems[Kind]>>;
    /** Records this box, in place of its record of an earlier life. */
    readonly registerBox: (record: MemberRecord, signal: AbortSignal) => Promise<void>;
    /**
     * Writes the state of an order, if it has not changed since `order` was read. Returns it as the store has it then, whoever
     * wrote it; undefined if it is gone. After an error the write may be done, or be done later while its condition holds.
     */
    readonly writeRolloutState: (
        order: RolloutOrder,
        state: RolloutState,
        signal: AbortSignal,
    ) => Promise<RolloutOrder | undefined>;
    /** Returns the newest order of a service; undefined if there is none. */
    readonly readRollout: (service: ServiceId, signal: AbortSignal) => Promise<RolloutOrder | undefined>;
    readonly listBoxes: (age: ListConsistency, signal: AbortSignal) => Promise<readonly MemberRecord[]>;
}

/** Why a call of the store failed. */
export type StoreFailure = "unreachable" | "silent" | "refused" | "unreadable";

/** A failed call of the store. */
export class StoreError extends Error {
    constructor(readonly failure: StoreFailure, detail: string) {
        super(`store ${failure}: ${detail}`);
    }
}
