/**
 * A box's copy of one kind of shared state, with the revision up to which it is
 * known to be complete.
 *
 * Copies come from the store or from another box. A copy only moves to higher
 * revisions, so an old one never replaces a newer one, whoever sent it.
 *
 * Owns the items and the latest changes, so that another box which lacks only
 * these need not read the whole copy; relies on revisions that the store raises
 * with each change.
 */

/** A complete copy as of a revision. */
export interface Snapshot<Item> {
    /** Complete up to this revision of the store. */
    readonly revision: number;
    readonly items: readonly Item[];
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
    readonly changedRevision: () => number;
    /** Replaces the copy; false if it is not newer. */
    readonly applySnapshot: (snapshot: Snapshot<Item>) => boolean;
    /**
     * Applies all changes after `since` up to `revision`, in order; false if the copy does not reach up to `since`, or
     * is newer than the changes. Those that it holds already may be among them: the last change of an item counts.
     */
    readonly applyChanges: (since: number, changes: readonly ItemChange<Item>[], revision: number) => boolean;
    readonly snapshot: () => Snapshot<Item> | undefined;
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

/** Creates an empty copy. */
export function createReplica<Item>(
    nameOf: (item: Item) => string,
    onChange: (items: readonly Item[]) => void,
): Replica<Item> {
    let items = new Map<string, Item>();
    let revision: number | undefined;
    let changedRevision = 0;
    let kept: KeptBatch<Item>[] = [];
    /** The batches kept hold all changes after this revision. */
    let keptAfter = 0;

    return {
        revision: () => revision,
        changedRevision: () => changedRevision,
        applySnapshot(snapshot) {
            if (revision !== undefined && snapshot.revision <= revision) {
                return false;
            }
            items = new Map(snapshot.items.map(item => [nameOf(item), item]));
            revision = snapshot.revision;
            changedRevision = snapshot.revision;
            kept = [];
            keptAfter = snapshot.revision;
            onChange([...items.values()]);
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
            onChange([...items.values()]);
            return true;
        },
        snapshot: () => revision === undefined ? undefined : { revision, items: [...items.values()] },
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
                return;
            case "gone":
                items.delete(change.name);
                return;
        }
    }
}
