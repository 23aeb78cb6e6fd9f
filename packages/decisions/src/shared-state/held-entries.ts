/**
 * What a copy goes on believing after the store has come back from an older copy
 * of its own: entries that the store had acknowledged and no longer has, until they
 * are written again or their time is over.
 *
 * Owns these entries; the copy owns what the store has. Times are passed in.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** How long each sort of lost entry is believed in, in milliseconds; 0 for not at all. */
export interface RetentionPolicy<Item> {
    /** The store no longer has the entry. */
    readonly missingRetention: number;
    /** The store has an entry again that was gone. */
    readonly deletedRetention: number;
    /** The store has an older state of the entry. */
    readonly outdatedRetention: number;
    /** True if `told` was written before `known`, whatever their revisions. */
    readonly isOlder: (told: Item, known: Item) => boolean;
}

/** An entry as the copy knew it; `item` is undefined for one that was gone. */
interface HeldEntry<Item> {
    readonly item: Item | undefined;
    readonly until: Milliseconds;
}

/** What a copy knew when the store came back. */
interface KnownEntries<Item> {
    readonly items: ReadonlyMap<string, Item>;
    /** Entries that were gone. */
    readonly gone: Iterable<string>;
}

/** The entries that a copy holds against the store's word. */
export interface HeldEntries<Item> {
    /** The store has come back, and has these. Everything that was known and is lost is held from now on. */
    readonly onStoreRestored: (known: KnownEntries<Item>, stored: ReadonlyMap<string, Item>, at: Milliseconds) => void;
    /** The store has the entry so, as it was written since it came back; undefined: gone. */
    readonly onWritten: (name: string, item: Item | undefined) => void;
    /** Takes what another box holds, where this copy knows nothing of the entry. */
    readonly addIfAbsent: (
        name: string,
        item: Item | undefined,
        stored: ReadonlyMap<string, Item>,
        at: Milliseconds,
    ) => void;
    /** Ends what has had its time; true if anything has. */
    readonly expire: (at: Milliseconds) => boolean;
    /** The entries that are in force beside what the store has. */
    readonly overlay: (stored: ReadonlyMap<string, Item>) => Map<string, Item>;
    /** What is held, by name; undefined for an entry that was gone. */
    readonly all: () => ReadonlyMap<string, Item | undefined>;
}

/** Creates it without entries. */
export function createHeldEntries<Item>(policy: RetentionPolicy<Item>): HeldEntries<Item> {
    let held = new Map<string, HeldEntry<Item>>();

    return {
        onStoreRestored({ gone, items }, stored, at) {
            held = new Map();
            items.forEach((item, name) => holdItem(name, item, stored, at));
            for (const name of gone) {
                holdGone(name, stored, at);
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
                holdGone(name, stored, at);
            }
            else {
                holdItem(name, item, stored, at);
            }
        },
        expire(at) {
            const over = [...held].filter(([, { until }]) => at >= until);
            over.forEach(([name]) => held.delete(name));
            return over.length > 0;
        },
        overlay(stored) {
            const items = new Map(stored);
            held.forEach(({ item }, name) => item === undefined ? items.delete(name) : items.set(name, item));
            return items;
        },
        all: () => new Map([...held].map(([name, { item }]) => [name, item])),
    };

    function holdItem(name: string, item: Item, stored: ReadonlyMap<string, Item>, at: Milliseconds): void {
        const told = stored.get(name);
        if (told === undefined) {
            hold(name, item, policy.missingRetention, at);
        }
        else if (policy.isOlder(told, item)) {
            hold(name, item, policy.outdatedRetention, at);
        }
    }

    function holdGone(name: string, stored: ReadonlyMap<string, Item>, at: Milliseconds): void {
        if (stored.has(name)) {
            hold(name, undefined, policy.deletedRetention, at);
        }
    }

    function hold(name: string, item: Item | undefined, duration: number, at: Milliseconds): void {
        if (duration > 0) {
            held.set(name, { item, until: milliseconds(at + duration) });
        }
    }
}
