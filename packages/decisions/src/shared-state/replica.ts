/**
 * Replica: a box's copy of one kind of shared state, with the revision up to which it
 * is known to be complete.
 *
 * Content comes from the store or from another box. A replica only moves to higher
 * revisions, so an older copy never replaces a newer one, whichever box sent it.
 * Revisions are positions (`store-position`): those of a store that was restored from a
 * backup are higher than all before, and entries that it has lost are held until they
 * are written again (`held-entries`).
 *
 * Owns the items, and the latest changes, so that another box which lacks only these
 * does not have to read the whole copy; relies on the store to increase the revision
 * with each change.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createHeldEntries, type RetentionPolicy } from "./held-entries.js";
import { epochOf } from "./store-position.js";

/** A complete copy of one kind of shared state as of a revision. */
export interface Snapshot<Item> {
    /** The copy is complete up to this revision. */
    readonly revision: number;
    readonly items: readonly Item[];
    /** Entries that the store lost when it was restored and that are still held; left out if there are none. */
    readonly held?: readonly ItemChange<Item>[];
}

/** One change: an item was written, or deleted (`gone`). */
export type ItemChange<Item> =
    | { readonly kind: "put"; readonly name: string; readonly item: Item; }
    | { readonly kind: "gone"; readonly name: string; };

/**
 * What another replica lacks: the changes after `since` and up to `revision`, in order, without those that a later one of
 * the same entry has replaced.
 */
export interface MissingChanges<Item> {
    readonly since: number;
    readonly revision: number;
    readonly changes: readonly ItemChange<Item>[];
}

/** A copy of one kind of shared state that is kept up to date. */
export interface Replica<Item> {
    /** Revision up to which the replica is complete; undefined before the first snapshot. */
    readonly revision: () => number | undefined;
    /** Revision of the last change that the replica contains. */
    readonly lastChangeRevision: () => number;
    /** Replaces the copy, except for entries that a restored store has lost; false if the snapshot is not newer. */
    readonly applySnapshot: (snapshot: Snapshot<Item>) => boolean;
    /**
     * Applies all changes after `since` up to `revision`, in order; false if the replica is not complete up to `since`,
     * or is newer than the changes. They may include changes that it contains already: the last change of an item
     * counts.
     */
    readonly applyChanges: (since: number, changes: readonly ItemChange<Item>[], revision: number) => boolean;
    readonly snapshot: () => Snapshot<Item> | undefined;
    /** Removes held entries whose retention has expired. To be called several times per second. */
    readonly expireHeldEntries: () => void;
    /** What a replica that is complete up to `since` lacks; undefined if the kept changes don't reach back that far. */
    readonly changesSince: (since: number) => MissingChanges<Item> | undefined;
}

/**
 * Maximum number of changes that are kept for other boxes: for the servers, more would cost as much as a whole copy.
 * Whatever an entry's size, kept changes need hardly any memory, since only the latest of each entry is kept, whose item
 * the replica holds anyway.
 */
const maxKeptChanges = 256;

/**
 * A batch of changes that the replica has applied, those up to `revision` that follow the batch before, without those
 * that were replaced since.
 */
interface KeptBatch<Item> {
    readonly revision: number;
    readonly changes: readonly ItemChange<Item>[];
}

/**
 * What a replica needs to hold entries when the store is restored; without it, the restored content applies at once.
 */
export interface RestoreOptions<Item> {
    readonly clock: Clock;
    readonly policy: RetentionPolicy<Item>;
    /** The store was restored from a backup; `held` has the names of the entries that are held. */
    readonly onStoreRestored: (revision: number, previous: number, held: readonly string[]) => void;
}

/**
 * Milliseconds for which the replica remembers that an entry was deleted: a store is restored from a backup some
 * seconds old.
 */
const deletionMemory = 60_000;
/** Maximum number of deleted entries that are remembered. */
const maxDeletions = 1024;

/** Policy of a replica that holds no entries. */
const noRetention: RetentionPolicy<unknown> = {
    missingRetention: 0,
    deletedRetention: 0,
    outdatedRetention: 0,
    isOlder: () => false,
};

/**
 * Creates an empty replica. `onChange` is called with all items in force after each change; without `restore` the
 * replica holds no entries when the store is restored.
 */
export function createReplica<Item>(
    nameOf: (item: Item) => string,
    onChange: (items: readonly Item[]) => void,
    restore?: RestoreOptions<Item>,
): Replica<Item> {
    const clock = restore?.clock ?? (() => milliseconds(0));
    const held = createHeldEntries<Item>(restore?.policy ?? noRetention);
    /** Names of deleted entries, and when this replica learned of the deletion. */
    const deletedAt = new Map<string, Milliseconds>();
    /** The items that the store has. */
    let items = new Map<string, Item>();
    let revision: number | undefined;
    let lastChangeRevision = 0;
    let kept: KeptBatch<Item>[] = [];
    /** The kept batches contain all changes after this revision. */
    let keptAfter = 0;

    return {
        revision: () => revision,
        lastChangeRevision: () => lastChangeRevision,
        applySnapshot(snapshot) {
            if (revision !== undefined && snapshot.revision <= revision) {
                return false;
            }
            const next = new Map(snapshot.items.map(item => [nameOf(item), item]));
            if (revision !== undefined && epochOf(snapshot.revision) > epochOf(revision)) {
                onRestored(next, snapshot.revision, revision);
            }
            else {
                onListed(next);
            }
            items = next;
            addHeldEntries(snapshot.held ?? []);
            revision = snapshot.revision;
            lastChangeRevision = snapshot.revision;
            kept = [];
            keptAfter = snapshot.revision;
            publish();
            return true;
        },
        applyChanges(since, changes, next) {
            if (revision === undefined || revision < since || next < revision) {
                return false;
            }
            revision = next;
            if (changes.length === 0) {
                return true;
            }
            changes.forEach(applyChange);
            lastChangeRevision = next;
            keepBatch({ revision: next, changes });
            publish();
            return true;
        },
        snapshot: () => revision === undefined ? undefined : { revision, items: [...items.values()], ...heldChanges() },
        expireHeldEntries() {
            if (held.expire(clock())) {
                publish();
            }
        },
        changesSince(since) {
            if (revision === undefined || since < keptAfter) {
                return undefined;
            }
            const changes = kept.filter(batch => batch.revision > since).flatMap(batch => batch.changes);
            return { since, revision, changes };
        },
    };

    function keepBatch(batch: KeptBatch<Item>): void {
        const latest = new Map(batch.changes.map(change => [change.name, change]));
        kept = kept
            .map(({ changes, ...earlier }) => ({
                ...earlier,
                changes: changes.filter(({ name }) => !latest.has(name)),
            }))
            .filter(({ changes }) => changes.length > 0);
        kept.push({ ...batch, changes: [...latest.values()] });
        let count = kept.reduce((sum, { changes }) => sum + changes.length, 0);
        while (count > maxKeptChanges) {
            const [oldest] = kept.splice(0, 1);
            keptAfter = oldest.revision;
            count -= oldest.changes.length;
        }
    }

    function applyChange(change: ItemChange<Item>): void {
        switch (change.kind) {
            case "put":
                items.set(change.name, change.item);
                held.onWritten(change.name, change.item);
                deletedAt.delete(change.name);
                return;
            case "gone":
                items.delete(change.name);
                held.onWritten(change.name, undefined);
                rememberDeletion(change.name);
                return;
        }
    }

    function publish(): void {
        onChange([...held.overlay(items).values()]);
    }

    /** Holds the entries that the restored store has lost: all that the replica knew had been acknowledged. */
    function onRestored(next: ReadonlyMap<string, Item>, at: number, previous: number): void {
        const since = clock() - deletionMemory;
        const gone = [...deletedAt].filter(([, time]) => time >= since).map(([name]) => name);
        held.onStoreRestored({ items: held.overlay(items), gone }, next, clock());
        restore?.onStoreRestored(at, previous, [...held.all().keys()]);
    }

    /** A whole list of the same epoch: held entries that it contains were written again. */
    function onListed(next: ReadonlyMap<string, Item>): void {
        items.forEach((_, name) => next.has(name) ? undefined : rememberDeletion(name));
        held.all().forEach((item, name) => {
            const listed = next.get(name);
            if (item !== undefined && listed !== undefined) {
                held.onWritten(name, listed);
            }
        });
        next.forEach((_, name) => deletedAt.delete(name));
    }

    function addHeldEntries(changes: readonly ItemChange<Item>[]): void {
        changes.forEach(change =>
            held.addIfAbsent(change.name, change.kind === "put" ? change.item : undefined, items, clock())
        );
    }

    function heldChanges(): Pick<Snapshot<Item>, "held"> {
        const changes = [...held.all()].map(([name, item]): ItemChange<Item> =>
            item === undefined ? { kind: "gone", name } : { kind: "put", name, item }
        );
        return changes.length === 0 ? {} : { held: changes };
    }

    function rememberDeletion(name: string): void {
        deletedAt.delete(name);
        deletedAt.set(name, clock());
        if (deletedAt.size > maxDeletions) {
            const [oldest] = deletedAt.keys();
            deletedAt.delete(oldest);
        }
    }
}
