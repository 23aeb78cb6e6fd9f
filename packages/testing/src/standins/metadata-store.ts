/**
 * Stand-in for the users' platform's metadata store, in memory, on an injected
 * clock: revisions, pages, watches that wait, conditional writes, and a history
 * that can be forgotten. Only what boxes call stands here; the users' bench plays the rest.
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
    /** The write is done only if the object has this revision. */
    readonly revision?: number;
}

/** What a store held at one time, from which it can be restored. */
export interface StoreSnapshot {
    readonly at: number;
    readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
    readonly history: readonly HistoryEntry[];
}

/** A write that the store has lost; `again` does it once more, unless a later one has replaced it. */
interface LostWrite {
    readonly kind: string;
    readonly name: string;
    readonly replay: () => void;
}

/** A list is asked by page. */
interface ListRequest {
    /** The page begins after this name. */
    readonly after?: string;
    /** The answer may be as old as the last `freezeStaleReads`. */
    readonly stale?: boolean;
}

/** The store without its HTTP. */
export interface MetadataStore {
    readonly list: (kind: string, request?: ListRequest) => StoreAnswer;
    readonly create: (kind: string, write: ObjectWrite) => StoreAnswer;
    readonly get: (kind: string, name: string) => StoreAnswer;
    readonly replace: (kind: string, write: ObjectWrite) => StoreAnswer;
    readonly replaceStatus: (kind: string, write: ObjectWrite) => StoreAnswer;
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
    /** From now on stale lists answer as of this moment. */
    readonly freezeStaleReads: () => void;
    /** Forgets the history: watches from earlier revisions get 410. */
    readonly compact: () => void;
    /** Ends the waiting watches without an answer. */
    readonly dropWatches: () => void;
    /** Ends watches whose wait is over. */
    readonly endExpiredWatches: () => void;
    readonly revision: () => number;
    /** What the store holds now. */
    readonly takeSnapshot: () => StoreSnapshot;
    /** Comes back from a copy: what was written since is gone, revisions go on from the copy's, and the era rises by one. */
    readonly restore: (from: StoreSnapshot) => void;
    /** What the operator and the servers have written last and the store no longer has so, since it came back from a copy. */
    readonly lostWrites: () => readonly LostWrite[];
    /** The era as the store tells it; undefined for one that tells none. */
    readonly epoch: () => number | undefined;
}

export interface MetadataStoreOptions {
    readonly clock: Clock;
    readonly pageSize?: number;
    /** Era that it tells from the start; none if it is left out, until it is restored. */
    readonly epoch?: number;
}

interface HistoryEntry {
    readonly kind: string;
    readonly revision: number;
    readonly event: StoreEvent;
}

/** A write of the operator or a server; `spec` is undefined for one that removes the object. */
interface ForeignWrite {
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
    /** The last write of the operator or a server to each object. */
    const written = new Map<string, ForeignWrite>();
    let history: HistoryEntry[] = [];
    let latest = 0;
    let forgottenUpTo = 0;
    let heldBack: StoreSnapshot | undefined;
    let era = options.epoch;

    return {
        list,
        create(kind, write) {
            const known = objectsOf(kind).get(write.name);
            return known === undefined ? store(kind, write, undefined) : { status: 409, body: known };
        },
        get(kind, name) {
            const known = objectsOf(kind).get(name);
            return known === undefined ? { status: 404 } : { status: 200, body: known };
        },
        replace: (kind, write) => replaceIfMet(kind, write, known => ({ ...write, status: known.status })),
        replaceStatus: (kind, write) => replaceIfMet(kind, write, known => ({ ...write, spec: known.spec })),
        watch,
        put(kind, name, spec) {
            written.set(`${kind}/${name}`, { kind, name, spec });
            put(kind, name, spec);
        },
        delete(kind, name) {
            written.set(`${kind}/${name}`, { kind, name, spec: undefined });
            remove(kind, name);
        },
        lostWrites: () =>
            [...written.values()].filter(isLost).map(write => ({ ...write, replay: () => writeAgain(write) })),
        freezeStaleReads() {
            heldBack = copy();
        },
        takeSnapshot: copy,
        restore(from) {
            latest = from.at;
            history = [...from.history];
            kinds.clear();
            from.kinds.forEach((objects, kind) => kinds.set(kind, new Map(objects)));
            era = (era ?? 0) + 1;
            watchers.clear();
        },
        epoch: () => era,
        compact() {
            history = [];
            forgottenUpTo = latest;
            endWatchers(() => true, { status: 410 });
        },
        dropWatches: () => watchers.clear(),
        endExpiredWatches: () => endWatchers(watcher => clock() >= watcher.until, undefined),
        revision: () => latest,
    };

    function put(kind: string, name: string, spec: unknown): void {
        const known = objectsOf(kind).get(name);
        store(kind, { name, spec, status: known?.status }, known);
    }

    function remove(kind: string, name: string): void {
        const known = objectsOf(kind).get(name);
        if (known !== undefined) {
            drop(kind, known);
        }
    }

    function isLost({ kind, name, spec }: ForeignWrite): boolean {
        return JSON.stringify(objectsOf(kind).get(name)?.spec) !== JSON.stringify(spec);
    }

    function writeAgain(write: ForeignWrite): void {
        const { kind, name, spec } = write;
        if (written.get(`${kind}/${name}`) !== write) {
            return;
        }
        if (spec === undefined) {
            remove(kind, name);
        }
        else {
            put(kind, name, spec);
        }
    }

    function copy(): StoreSnapshot {
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
        const isOld = request.stale === true && heldBack !== undefined;
        const objects = isOld ? heldBack!.kinds.get(kind) ?? new Map<string, StoredObject>() : objectsOf(kind);
        const names = [...objects.keys()].sort().filter(name => request.after === undefined || name > request.after);
        const page = names.slice(0, options.pageSize ?? defaultPageSize);
        const items = page.map(name => objects.get(name)!);
        const at = isOld ? heldBack!.at : latest;
        return { status: 200, body: { items, more: page.length < names.length, at } };
    }

    function replaceIfMet(
        kind: string,
        write: ObjectWrite,
        next: (known: StoredObject) => ObjectWrite,
    ): StoreAnswer {
        const known = objectsOf(kind).get(write.name);
        if (known === undefined) {
            return { status: 404 };
        }
        const isMet = write.revision === undefined || write.revision === known.metadata.revision;
        return isMet ? store(kind, next(known), known) : { status: 409, body: known };
    }

    function store(kind: string, { name, spec, status }: ObjectWrite, known: StoredObject | undefined): StoreAnswer {
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

    function drop(kind: string, known: StoredObject): void {
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
        if (since < forgottenUpTo || since > latest) {
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
