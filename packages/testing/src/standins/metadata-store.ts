/**
 * Stand-in for the users' platform's metadata store, in memory, on an injected
 * clock: revisions, pages, stale reads, watches that wait, conditional writes,
 * finalizers, bounded history and call rates.
 */

import type { Clock, Milliseconds } from "@chalkdale/kernel";

/** An object as the store keeps it. */
interface StoredObject {
    readonly metadata: {
        readonly name: string;
        readonly revision: number;
        readonly made: number;
        readonly finalizers: readonly string[];
        readonly deleting: boolean;
    };
    readonly spec: unknown;
    readonly status: unknown;
}

/** One change as watches tell it. */
interface StoreEvent {
    readonly gone: boolean;
    readonly object: StoredObject;
}

/** An answer: a status and its body. */
export interface StoreAnswer {
    readonly status: number;
    readonly body?: unknown;
}

/** What a writer gives. */
export interface ObjectWrite {
    readonly name: string;
    readonly spec?: unknown;
    readonly status?: unknown;
    readonly finalizers?: readonly string[];
    /** The write is done only if the object has this revision. */
    readonly revision?: number;
}

/** A list is asked by page. */
interface ListRequest {
    readonly after?: string;
    /** The answer may be as old as the store's lag. */
    readonly stale?: boolean;
}

/** The store without its HTTP. */
export interface MetadataStore {
    readonly list: (kind: string, request?: ListRequest) => StoreAnswer;
    readonly get: (kind: string, name: string) => StoreAnswer;
    readonly create: (kind: string, write: ObjectWrite) => StoreAnswer;
    readonly replace: (kind: string, write: ObjectWrite) => StoreAnswer;
    readonly replaceStatus: (kind: string, write: ObjectWrite) => StoreAnswer;
    readonly remove: (kind: string, name: string, revision?: number) => StoreAnswer;
    /** Answers as soon as the kind changes after a revision; at the end of the wait with no events. */
    readonly watch: (
        kind: string,
        since: number,
        wait: Milliseconds,
        answer: (answer: StoreAnswer) => void,
    ) => () => void;
    /** Sets or removes an object as the operator or a server does, past all conditions and rates. */
    readonly put: (kind: string, name: string, spec: unknown) => void;
    readonly delete: (kind: string, name: string) => void;
    /** Forgets the history: watches from earlier revisions get 410. */
    readonly compact: () => void;
    /** Ends the waiting watches without an answer. */
    readonly cutWatches: () => void;
    /** Ends watches whose wait is over. */
    readonly step: () => void;
    readonly revision: () => number;
}

export interface MetadataStoreOptions {
    readonly clock: Clock;
    readonly pageSize?: number;
    /** Age of stale reads. */
    readonly lag?: Milliseconds;
    readonly valueBytes?: number;
}

interface HistoryEntry {
    readonly kind: string;
    readonly revision: number;
    readonly event: StoreEvent;
    readonly at: Milliseconds;
}

interface Watcher {
    readonly kind: string;
    readonly since: number;
    readonly until: number;
    readonly answer: (answer: StoreAnswer) => void;
}

const defaultPageSize = 500;
const defaultValueBytes = 1024 * 1024;

/** Creates an empty store. */
export function createMetadataStore(options: MetadataStoreOptions): MetadataStore {
    const { clock } = options;
    const kinds = new Map<string, Map<string, StoredObject>>();
    const watchers = new Set<Watcher>();
    let history: HistoryEntry[] = [];
    let latest = 0;
    let forgottenUpTo = 0;

    return {
        list,
        get(kind, name) {
            const object = objectsOf(kind).get(name);
            return object === undefined ? { status: 404 } : { status: 200, body: object };
        },
        create(kind, write) {
            const known = objectsOf(kind).get(write.name);
            return known === undefined ? store(kind, write, undefined) : { status: 409, body: known };
        },
        replace: (kind, write) => change(kind, write, known => store(kind, write, known)),
        replaceStatus: (kind, write) =>
            change(kind, write, known => {
                const kept = { name: write.name, spec: known.spec, finalizers: known.metadata.finalizers };
                return store(kind, { ...kept, status: write.status }, known);
            }),
        remove: (kind, name, revision) => change(kind, { name, revision }, known => removeObject(kind, known)),
        watch,
        put: (kind, name, spec) => {
            store(kind, { name, spec }, objectsOf(kind).get(name));
        },
        delete(kind, name) {
            const known = objectsOf(kind).get(name);
            if (known !== undefined) {
                drop(kind, known);
            }
        },
        compact() {
            history = [];
            forgottenUpTo = latest;
            endWatchers(() => true, { status: 410 });
        },
        cutWatches: () => watchers.clear(),
        step: () => endWatchers(watcher => clock() >= watcher.until, undefined),
        revision: () => latest,
    };

    function objectsOf(kind: string): Map<string, StoredObject> {
        let objects = kinds.get(kind);
        if (objects === undefined) {
            objects = new Map();
            kinds.set(kind, objects);
        }
        return objects;
    }

    function list(kind: string, request: ListRequest = {}): StoreAnswer {
        const objects = request.stale === true ? staleObjects(kind) : objectsOf(kind);
        const names = [...objects.keys()].sort().filter(name => request.after === undefined || name > request.after);
        const page = names.slice(0, options.pageSize ?? defaultPageSize);
        const items = page.map(name => objects.get(name)!);
        return { status: 200, body: { items, more: page.length < names.length, at: latest } };
    }

    /** Objects as they were when the lag began: later changes are taken back. */
    function staleObjects(kind: string): Map<string, StoredObject> {
        const objects = new Map(objectsOf(kind));
        const since = clock() - (options.lag ?? 0);
        const later = history.filter(entry => entry.kind === kind && entry.at > since);
        for (const { event } of later) {
            objects.delete(event.object.metadata.name);
        }
        const before = history.filter(entry => entry.kind === kind && entry.at <= since);
        for (const { event } of before) {
            if (!event.gone) {
                objects.set(event.object.metadata.name, event.object);
            }
        }
        return objects;
    }

    function change(
        kind: string,
        write: Pick<ObjectWrite, "name" | "revision">,
        apply: (known: StoredObject) => StoreAnswer,
    ): StoreAnswer {
        const known = objectsOf(kind).get(write.name);
        if (known === undefined) {
            return { status: 404 };
        }
        if (write.revision !== undefined && write.revision !== known.metadata.revision) {
            return { status: 409, body: known };
        }
        return apply(known);
    }

    function store(kind: string, write: ObjectWrite, known: StoredObject | undefined): StoreAnswer {
        const { spec } = write;
        const status = write.status ?? known?.status;
        const finalizers = write.finalizers ?? known?.metadata.finalizers ?? [];
        if (JSON.stringify(spec).length > (options.valueBytes ?? defaultValueBytes)) {
            return { status: 413 };
        }
        if (known !== undefined && isSame(known, spec, status, finalizers)) {
            return { status: 200, body: known };
        }
        if (known?.metadata.deleting && finalizers.length === 0) {
            return drop(kind, known);
        }
        latest += 1;
        const metadata = {
            name: write.name,
            revision: latest,
            made: known?.metadata.made ?? latest,
            finalizers,
            deleting: known?.metadata.deleting ?? false,
        };
        const object: StoredObject = { metadata, spec, status };
        objectsOf(kind).set(write.name, object);
        record(kind, { gone: false, object });
        return { status: known === undefined ? 201 : 200, body: object };
    }

    function removeObject(kind: string, known: StoredObject): StoreAnswer {
        if (known.metadata.finalizers.length === 0) {
            return drop(kind, known);
        }
        latest += 1;
        const object = { ...known, metadata: { ...known.metadata, revision: latest, deleting: true } };
        objectsOf(kind).set(known.metadata.name, object);
        record(kind, { gone: false, object });
        return { status: 200, body: object };
    }

    function drop(kind: string, known: StoredObject): StoreAnswer {
        objectsOf(kind).delete(known.metadata.name);
        latest += 1;
        record(kind, { gone: true, object: known });
        return { status: 200, body: known };
    }

    function record(kind: string, event: StoreEvent): void {
        history.push({ kind, revision: latest, event, at: clock() });
        endWatchers(watcher => watcher.kind === kind, undefined);
    }

    function watch(
        kind: string,
        since: number,
        wait: Milliseconds,
        answer: (answer: StoreAnswer) => void,
    ): () => void {
        if (since < forgottenUpTo) {
            answer({ status: 410 });
            return () => undefined;
        }
        const watcher: Watcher = { kind, since, until: clock() + wait, answer };
        watchers.add(watcher);
        if (eventsFor(watcher).length > 0) {
            endWatchers(candidate => candidate === watcher, undefined);
        }
        return () => {
            watchers.delete(watcher);
        };
    }

    function eventsFor(watcher: Watcher): StoreEvent[] {
        return history
            .filter(entry => entry.kind === watcher.kind && entry.revision > watcher.since)
            .map(entry => entry.event);
    }

    function endWatchers(accept: (watcher: Watcher) => boolean, answer: StoreAnswer | undefined): void {
        for (const watcher of [...watchers].filter(accept)) {
            watchers.delete(watcher);
            watcher.answer(answer ?? { status: 200, body: { events: eventsFor(watcher), at: latest } });
        }
    }
}

function isSame(known: StoredObject, spec: unknown, status: unknown, finalizers: readonly string[]): boolean {
    return JSON.stringify([known.spec, known.status, known.metadata.finalizers])
        === JSON.stringify([spec, status, finalizers]);
}
