/**
 * A box's copy of one kind of shared state, with the revision up to which it is
 * known to be complete.
 *
 * Copies come from the store or from another box. A copy only moves to higher
 * revisions, so an old one never replaces a newer one, whoever sent it. Revisions are
 * positions (`store-position`): those of a store that has come back from an older copy are
 * higher than all before, and what it has lost is held until it is written again
 * (`restored-entries`).
 *
 * Owns the items and the latest changes, so that another box which lacks only
 * these need not read the whole copy; relies on revisions that the store raises
 * with each change.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createHeldEntries, type RetentionPolicy } from "./held-entries.js";
import { epochOf } from "./store-position.js";

/** A complete copy as of a revision. */
export interface Snapshot<Item> {
    /** Complete up to this revision of the store. */
    readonly revision: number;
    readonly items: readonly Item[];
    /** What the copy holds against the store's word since the store came back older; left out where there is nothing. */
    readonly held?: readonly ItemChange<Item>[];
}

/** One change of an item. */
export type ItemChange<Item> =
    | { readonly kind: "put"; readonly name: string; readonly item: Item; }
    | { readonly kind: "gone"; readonly name: string; };

/** What another copy lacks: all changes after `since` and up to `revision`, in order. */
export interface MissingChanges<Item> {
    readonly since: number;
    readonly revision: number;
    readonly changes: readonly ItemChange<Item>[];
}

/** A copy that is kept up to date. */
export interface Replica<Item> {
    /** Revision up to which the copy is complete; undefined before the first snapshot. */
    readonly revision: () => number | undefined;
    /** Revision of the last change that the copy holds. */
    readonly lastChangeRevision: () => number;
    /** Replaces the copy, but for what a store that came back older has lost; false if it is not newer. */
    readonly applySnapshot: (snapshot: Snapshot<Item>) => boolean;
    /**
     * Applies all changes after `since` up to `revision`, in order; false if the copy does not reach up to `since`, or
     * is newer than the changes. Those that it holds already may be among them: the last change of an item counts.
     */
    readonly applyChanges: (since: number, changes: readonly ItemChange<Item>[], revision: number) => boolean;
    readonly snapshot: () => Snapshot<Item> | undefined;
    /** Ends what was held against the store's word for long enough. Due some times a second. */
    readonly expireHeldEntries: () => void;
    /** What a copy that is complete up to `since` lacks; undefined if the changes kept don't reach back so far. */
    readonly changesSince: (since: number) => MissingChanges<Item> | undefined;
}

/**
 * Changes that are kept for other boxes at most. 256 of some 250 bytes are 64 KB a kind; a whole copy of 796 servers is 107 KB,
 * so more would cost as much as the copy.
 */
const mostChangesKept = 256;

/** A batch of changes that the copy took: all those up to `revision` that follow on the batch before. */
interface KeptBatch<Item> {
    readonly revision: number;
    readonly changes: readonly ItemChange<Item>[];
}

/** What a copy needs to go through a restore of the store; without it such a store's word counts at once. */
export interface RestoreOptions<Item> {
    readonly clock: Clock;
    readonly policy: RetentionPolicy<Item>;
    /** The store has come back from an older copy; names of the entries that are held. */
    readonly onStoreRestored: (revision: number, previous: number, held: readonly string[]) => void;
}

/** Milliseconds for which the copy remembers that an entry is gone: a store comes back from a copy of some seconds before. */
const goneRemembered = 60_000;
/** Names that it remembers at most. */
const mostGone = 1024;

/** Policy of a copy that holds nothing. */
const holdNothing: RetentionPolicy<unknown> = {
    missingRetention: 0,
    deletedRetention: 0,
    outdatedRetention: 0,
    isOlder: () => false,
};

/** Creates an empty copy. */
export function createReplica<Item>(
    nameOf: (item: Item) => string,
    onChange: (items: readonly Item[]) => void,
    restore?: RestoreOptions<Item>,
): Replica<Item> {
    const clock = restore?.clock ?? (() => milliseconds(0));
    const held = createHeldEntries<Item>(restore?.policy ?? holdNothing);
    /** Entries that are gone, and when this copy learned of it. */
    const goneAt = new Map<string, Milliseconds>();
    /** What the store has. */
    let items = new Map<string, Item>();
    let revision: number | undefined;
    let changedRevision = 0;
    let kept: KeptBatch<Item>[] = [];
    /** The batches kept hold all changes after this revision. */
    let keptAfter = 0;

    return {
        revision: () => revision,
        lastChangeRevision: () => changedRevision,
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
            takeHeld(snapshot.held ?? []);
            revision = snapshot.revision;
            changedRevision = snapshot.revision;
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
            changedRevision = next;
            keep({ revision: next, changes });
            publish();
            return true;
        },
        snapshot: () => revision === undefined ? undefined : { revision, items: [...items.values()], ...heldPart() },
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

    function keep(batch: KeptBatch<Item>): void {
        kept.push(batch);
        let count = kept.reduce((sum, { changes }) => sum + changes.length, 0);
        while (count > mostChangesKept) {
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
                goneAt.delete(change.name);
                return;
            case "gone":
                items.delete(change.name);
                held.onWritten(change.name, undefined);
                noteGone(change.name);
                return;
        }
    }

    function publish(): void {
        onChange([...held.overlay(items).values()]);
    }

    /** Whatever the copy knew and the store has lost was acknowledged. */
    function onRestored(next: ReadonlyMap<string, Item>, at: number, previous: number): void {
        const since = clock() - goneRemembered;
        const gone = [...goneAt].filter(([, wentAt]) => wentAt >= since).map(([name]) => name);
        held.onStoreRestored({ items: held.overlay(items), gone }, next, clock());
        restore?.onStoreRestored(at, previous, [...held.all().keys()]);
    }

    /** A whole list of the epoch that goes on: what it has of the held entries was written again. */
    function onListed(next: ReadonlyMap<string, Item>): void {
        items.forEach((_, name) => next.has(name) ? undefined : noteGone(name));
        held.all().forEach((item, name) => {
            const listed = next.get(name);
            if (item !== undefined && listed !== undefined) {
                held.onWritten(name, listed);
            }
        });
        next.forEach((_, name) => goneAt.delete(name));
    }

    function takeHeld(changes: readonly ItemChange<Item>[]): void {
        changes.forEach(change =>
            held.addIfAbsent(change.name, change.kind === "put" ? change.item : undefined, items, clock())
        );
    }

    function heldPart(): Pick<Snapshot<Item>, "held"> {
        const changes = [...held.all()].map(([name, item]): ItemChange<Item> =>
            item === undefined ? { kind: "gone", name } : { kind: "put", name, item }
        );
        return changes.length === 0 ? {} : { held: changes };
    }

    function noteGone(name: string): void {
        goneAt.delete(name);
        goneAt.set(name, clock());
        if (goneAt.size > mostGone) {
            const [oldest] = goneAt.keys();
            goneAt.delete(oldest);
        }
    }
}
