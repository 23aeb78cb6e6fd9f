/**
 * Entries that a replica keeps after the store was restored from a backup: those
 * that the store had acknowledged and has lost, until they are written again or
 * their retention has expired.
 *
 * Owns the held entries; the replica owns the entries that the store has. Times are passed in.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** How long a replica keeps each kind of lost entry, in milliseconds; 0 for not at all. */
export interface RetentionPolicy<Item> {
    /** For an entry that the store no longer has. */
    readonly missingRetention: number;
    /** For the deletion of an entry that the store has again. */
    readonly deletedRetention: number;
    /** For an entry of which the store has an older state. */
    readonly outdatedRetention: number;
    /** True if `incoming` was written before `known`, whatever their revisions. */
    readonly isOlder: (incoming: Item, known: Item) => boolean;
}

/** An entry as the replica had it; `item` is undefined for a deleted one. */
interface HeldEntry<Item> {
    readonly item: Item | undefined;
    readonly expiresAt: Milliseconds;
}

/** What a replica had when the store was restored. */
interface KnownEntries<Item> {
    readonly items: ReadonlyMap<string, Item>;
    /** Names of the entries that were deleted recently. */
    readonly gone: Iterable<string>;
}

/** The entries that a replica keeps although the store has lost them. */
export interface HeldEntries<Item> {
    /** The store was restored and has the entries `stored`. Every known entry that it has lost is held from now on. */
    readonly onStoreRestored: (known: KnownEntries<Item>, stored: ReadonlyMap<string, Item>, at: Milliseconds) => void;
    /** The entry was written since the store was restored; `item` is undefined if it was deleted. */
    readonly onWritten: (name: string, item: Item | undefined) => void;
    /** Adds an entry that another box holds, unless one of that name is held already. */
    readonly addIfAbsent: (
        name: string,
        item: Item | undefined,
        stored: ReadonlyMap<string, Item>,
        at: Milliseconds,
    ) => void;
    /** Removes the entries whose retention has expired; true if there were any. */
    readonly expire: (at: Milliseconds) => boolean;
    /** Returns the entries that are in force: what the store has, overridden by the held entries. */
    readonly overlay: (stored: ReadonlyMap<string, Item>) => Map<string, Item>;
    /** The held entries by name; undefined for a deleted one. */
    readonly all: () => ReadonlyMap<string, Item | undefined>;
}

/** Creates an empty set of held entries. */
export function createHeldEntries<Item>(policy: RetentionPolicy<Item>): HeldEntries<Item> {
    let held = new Map<string, HeldEntry<Item>>();

    return {
        onStoreRestored({ gone, items }, stored, at) {
            held = new Map();
            items.forEach((item, name) => holdItem(name, item, stored, at));
            for (const name of gone) {
                holdDeletion(name, stored, at);
            }
        },
        onWritten(name, item) {
            const known = held.get(name);
            const isOlder = item !== undefined && known?.item !== undefined && policy.isOlder(item, known.item);
            if (!isOlder) {
                held.delete(name);
            }
        },
        addIfAbsent(name, item, stored, at) {
            if (held.has(name)) {
                return;
            }
            if (item === undefined) {
                holdDeletion(name, stored, at);
            }
            else {
                holdItem(name, item, stored, at);
            }
        },
        expire(at) {
            const expired = [...held].filter(([, { expiresAt }]) => at >= expiresAt);
            expired.forEach(([name]) => held.delete(name));
            return expired.length > 0;
        },
        overlay(stored) {
            const items = new Map(stored);
            held.forEach(({ item }, name) => item === undefined ? items.delete(name) : items.set(name, item));
            return items;
        },
        all: () => new Map([...held].map(([name, { item }]) => [name, item])),
    };

    function holdItem(name: string, item: Item, stored: ReadonlyMap<string, Item>, at: Milliseconds): void {
        const storedItem = stored.get(name);
        if (storedItem === undefined) {
            hold(name, item, policy.missingRetention, at);
        }
        else if (policy.isOlder(storedItem, item)) {
            hold(name, item, policy.outdatedRetention, at);
        }
    }

    function holdDeletion(name: string, stored: ReadonlyMap<string, Item>, at: Milliseconds): void {
        if (stored.has(name)) {
            hold(name, undefined, policy.deletedRetention, at);
        }
    }

    function hold(name: string, item: Item | undefined, duration: number, at: Milliseconds): void {
        if (duration > 0) {
            held.set(name, { item, expiresAt: milliseconds(at + duration) });
        }
    }
}
