/**
 * Stand-in for the users' platform's metadata store, in memory and on an injected clock: revisions, pages, waiting
 * watches, conditional writes, a history that can be compacted, and restores from a snapshot. It implements only the
 * calls that boxes make.
 */

import type { Clock, Milliseconds } from "@chalkdale/kernel";

/** An object as the store keeps it. */
interface StoredObject {
    readonly metadata: {
        readonly name: string;
        readonly revision: number;
        /** Revision at which it was created. */
        readonly made: number;
    };
    readonly spec: unknown;
    readonly status?: unknown;
}

/** One change as watches report it. */
interface StoreEvent {
    readonly gone: boolean;
    readonly object: StoredObject;
}

/** An answer: a status and its body. */
export interface StoreAnswer {
    readonly status: number;
    readonly body?: unknown;
}

/** The content of a write. */
export interface ObjectWrite {
    readonly name: string;
    readonly spec?: unknown;
    readonly status?: unknown;
    /** If given, the write succeeds only if the object has this revision. */
    readonly revision?: number;
}

/** The content of the store at one time, from which it can be restored. */
export interface StoreSnapshot {
    readonly at: number;
    readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
    readonly history: readonly HistoryEntry[];
}

/** A write that a restore has undone; `replay` repeats it, unless a later one has replaced it. */
interface LostWrite {
    readonly kind: string;
    readonly name: string;
    readonly replay: () => void;
}

/** Which page of a list is requested. */
interface ListRequest {
    /** The page begins with the first name after this one. */
    readonly after?: string;
    /** The answer may be as old as the last call of `freezeStaleReads`. */
    readonly stale?: boolean;
}

/** The store's calls, without HTTP, and the controls of tests. */
export interface MetadataStore {
    readonly list: (kind: string, request?: ListRequest) => StoreAnswer;
    readonly create: (kind: string, write: ObjectWrite) => StoreAnswer;
    readonly get: (kind: string, name: string) => StoreAnswer;
    readonly replace: (kind: string, write: ObjectWrite) => StoreAnswer;
    readonly replaceStatus: (kind: string, write: ObjectWrite) => StoreAnswer;
    /**
     * Answers as soon as an object of the kind changes after the revision, or without events when the wait is over.
     * Returns a function that cancels the watch.
     */
    readonly watch: (
        kind: string,
        since: number,
        wait: Milliseconds,
        answer: (answer: StoreAnswer) => void,
    ) => () => void;
    /** Sets or deletes an object unconditionally, as the operator or a server does. */
    readonly put: (kind: string, name: string, spec: unknown) => void;
    readonly delete: (kind: string, name: string) => void;
    /** From now on, stale lists show the content of this moment. */
    readonly freezeStaleReads: () => void;
    /** Deletes the history: watches from earlier revisions get 410. */
    readonly compact: () => void;
    /** Drops the waiting watches without an answer. */
    readonly dropWatches: () => void;
    /** Answers the watches whose wait is over. */
    readonly endExpiredWatches: () => void;
    readonly revision: () => number;
    /** Returns the present content. */
    readonly takeSnapshot: () => StoreSnapshot;
    /**
     * Restores a snapshot: later writes are lost, revisions go on from the snapshot's and are assigned again, and the
     * epoch rises by one. Waiting watches are dropped.
     */
    readonly restore: (snapshot: StoreSnapshot) => void;
    /** The last writes of the operator and the servers that a restore has undone. */
    readonly lostWrites: () => readonly LostWrite[];
    /** The epoch that the store reports; undefined if it reports none. */
    readonly epoch: () => number | undefined;
}

export interface MetadataStoreOptions {
    readonly clock: Clock;
    readonly pageSize?: number;
    /** First epoch that the store reports; without it, it reports none until it is restored. */
    readonly epoch?: number;
}

interface HistoryEntry {
    readonly kind: string;
    readonly revision: number;
    readonly event: StoreEvent;
}

/** A write of the operator or a server; `spec` is undefined for a deletion. */
interface ExternalWrite {
    readonly kind: string;
    readonly name: string;
    readonly spec: unknown;
}

interface Watcher {
    readonly kind: string;
    readonly since: number;
    readonly until: number;
    readonly answer: (answer: StoreAnswer) => void;
}

const defaultPageSize = 500;

/** Creates an empty store. */
export function createMetadataStore(options: MetadataStoreOptions): MetadataStore {
    const { clock } = options;
    const kinds = new Map<string, Map<string, StoredObject>>();
    const watchers = new Set<Watcher>();
    /** The last write of the operator or a server to each object, by kind and name. */
    const lastWrites = new Map<string, ExternalWrite>();
    let history: HistoryEntry[] = [];
    let latest = 0;
    let compactedUpTo = 0;
    let staleSnapshot: StoreSnapshot | undefined;
    let currentEpoch = options.epoch;

    return {
        list,
        create(kind, write) {
            const known = objectsOf(kind).get(write.name);
            return known === undefined ? setObject(kind, write, undefined) : { status: 409, body: known };
        },
        get(kind, name) {
            const known = objectsOf(kind).get(name);
            return known === undefined ? { status: 404 } : { status: 200, body: known };
        },
        replace: (kind, write) => replaceIfRevisionMatches(kind, write, known => ({ ...write, status: known.status })),
        replaceStatus: (kind, write) =>
            replaceIfRevisionMatches(kind, write, known => ({ ...write, spec: known.spec })),
        watch,
        put(kind, name, spec) {
            lastWrites.set(`${kind}/${name}`, { kind, name, spec });
            put(kind, name, spec);
        },
        delete(kind, name) {
            lastWrites.set(`${kind}/${name}`, { kind, name, spec: undefined });
            remove(kind, name);
        },
        lostWrites: () =>
            [...lastWrites.values()].filter(isLost).map(write => ({ ...write, replay: () => replayWrite(write) })),
        freezeStaleReads() {
            staleSnapshot = createSnapshot();
        },
        takeSnapshot: createSnapshot,
        restore(snapshot) {
            latest = snapshot.at;
            history = [...snapshot.history];
            kinds.clear();
            snapshot.kinds.forEach((objects, kind) => kinds.set(kind, new Map(objects)));
            currentEpoch = (currentEpoch ?? 0) + 1;
            watchers.clear();
        },
        epoch: () => currentEpoch,
        compact() {
            history = [];
            compactedUpTo = latest;
            endWatchers(() => true, { status: 410 });
        },
        dropWatches: () => watchers.clear(),
        endExpiredWatches: () => endWatchers(watcher => clock() >= watcher.until, undefined),
        revision: () => latest,
    };

    function put(kind: string, name: string, spec: unknown): void {
        const known = objectsOf(kind).get(name);
        setObject(kind, { name, spec, status: known?.status }, known);
    }

    function remove(kind: string, name: string): void {
        const known = objectsOf(kind).get(name);
        if (known !== undefined) {
            deleteObject(kind, known);
        }
    }

    function isLost({ kind, name, spec }: ExternalWrite): boolean {
        return JSON.stringify(objectsOf(kind).get(name)?.spec) !== JSON.stringify(spec);
    }

    function replayWrite(write: ExternalWrite): void {
        const { kind, name, spec } = write;
        if (lastWrites.get(`${kind}/${name}`) !== write) {
            return;
        }
        if (spec === undefined) {
            remove(kind, name);
        }
        else {
            put(kind, name, spec);
        }
    }

    function createSnapshot(): StoreSnapshot {
        return {
            at: latest,
            kinds: new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)])),
            history: [...history],
        };
    }

    function objectsOf(kind: string): Map<string, StoredObject> {
        let objects = kinds.get(kind);
        if (objects === undefined) {
            objects = new Map();
            kinds.set(kind, objects);
        }
        return objects;
    }

    function list(kind: string, request: ListRequest = {}): StoreAnswer {
        const isStale = request.stale === true && staleSnapshot !== undefined;
        const objects = isStale ? staleSnapshot!.kinds.get(kind) ?? new Map<string, StoredObject>() : objectsOf(kind);
        const names = [...objects.keys()].sort().filter(name => request.after === undefined || name > request.after);
        const page = names.slice(0, options.pageSize ?? defaultPageSize);
        const items = page.map(name => objects.get(name)!);
        const at = isStale ? staleSnapshot!.at : latest;
        return { status: 200, body: { items, more: page.length < names.length, at } };
    }

    function replaceIfRevisionMatches(
        kind: string,
        write: ObjectWrite,
        next: (known: StoredObject) => ObjectWrite,
    ): StoreAnswer {
        const known = objectsOf(kind).get(write.name);
        if (known === undefined) {
            return { status: 404 };
        }
        const matches = write.revision === undefined || write.revision === known.metadata.revision;
        return matches ? setObject(kind, next(known), known) : { status: 409, body: known };
    }

    function setObject(
        kind: string,
        { name, spec, status }: ObjectWrite,
        known: StoredObject | undefined,
    ): StoreAnswer {
        if (known !== undefined && JSON.stringify([known.spec, known.status]) === JSON.stringify([spec, status])) {
            return { status: 200, body: known };
        }
        latest += 1;
        const object: StoredObject = {
            metadata: { name, revision: latest, made: known?.metadata.made ?? latest },
            spec,
            status,
        };
        objectsOf(kind).set(name, object);
        record(kind, { gone: false, object });
        return { status: known === undefined ? 201 : 200, body: object };
    }

    function deleteObject(kind: string, known: StoredObject): void {
        objectsOf(kind).delete(known.metadata.name);
        latest += 1;
        record(kind, { gone: true, object: known });
    }

    function record(kind: string, event: StoreEvent): void {
        history.push({ kind, revision: latest, event });
        endWatchers(watcher => watcher.kind === kind, undefined);
    }

    function watch(
        kind: string,
        since: number,
        wait: Milliseconds,
        answer: (answer: StoreAnswer) => void,
    ): () => void {
        if (since < compactedUpTo || since > latest) {
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
