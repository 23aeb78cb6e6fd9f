/**
 * Stand-in for the platform's object API, in memory and without I/O.
 *
 * It has versions, conditional updates, watches, call limits, and switches
 * for outage, lost answers and calls that are counted.
 */

import { type Clock, type Milliseconds, milliseconds, type ObjectVersion, objectVersion } from "@chalkdale/core";
import type { Platform, PlatformOutcome, StoredObject, WatchBatch } from "@chalkdale/platform";

/** What the stand-in does wrong on purpose. */
export interface StoreFaults {
    /** Refuses all calls. */
    outage: boolean;
    /** Writes that take effect while their answer is lost. */
    lostAnswers: number;
    /** Writes whose request is lost; their writer cannot tell this from a lost answer. */
    lostRequests: number;
}

/** Calls since the start. */
export interface CallCounts {
    reads: number;
    writes: number;
    refused: number;
    watchesWaiting: number;
    mostWatchesWaiting: number;
}

/** The stand-in. */
export interface ObjectStore {
    readonly platform: Platform;
    readonly faults: StoreFaults;
    readonly counts: CallCounts;
    /** Sets an object past all conditions, as an outside writer does. */
    readonly put: (key: string, value: unknown) => StoredObject;
    readonly read: (key: string) => StoredObject | undefined;
    /** Ends watches whose time is up. */
    readonly step: () => void;
}

export interface ObjectStoreOptions {
    readonly clock: Clock;
    readonly writesPerSecond?: number;
    readonly readsPerSecond?: number;
}

interface Watcher {
    readonly prefix: string;
    readonly from: ObjectVersion;
    readonly until: Milliseconds;
    readonly finish: (outcome: PlatformOutcome<WatchBatch>) => void;
}

const largestValue = 1024 * 1024;

/** Creates an empty store. */
export function createObjectStore(options: ObjectStoreOptions): ObjectStore {
    const { clock } = options;
    const objects = new Map<string, StoredObject>();
    const watchers = new Set<Watcher>();
    const faults: StoreFaults = { outage: false, lostAnswers: 0, lostRequests: 0 };
    const counts: CallCounts = { reads: 0, writes: 0, refused: 0, watchesWaiting: 0, mostWatchesWaiting: 0 };
    const writeLimit = createCallLimit(clock, options.writesPerSecond ?? 100);
    const readLimit = createCallLimit(clock, options.readsPerSecond ?? 2000);
    let latest = objectVersion(0);

    return {
        platform: { get, list, create, update, watch },
        faults,
        counts,
        put,
        read: key => objects.get(key),
        step() {
            for (const watcher of watchers) {
                if (faults.outage) {
                    endWatch(watcher, { kind: "unavailable", reason: "outage" });
                }
                else if (clock() >= watcher.until) {
                    endWatch(watcher, { kind: "done", value: { objects: [], version: latest } });
                }
            }
        },
    };

    function put(key: string, value: unknown): StoredObject {
        latest = objectVersion(latest + 1);
        const stored: StoredObject = { key, version: latest, value: structuredClone(value) };
        objects.set(key, stored);
        for (const watcher of watchers) {
            if (key.startsWith(watcher.prefix)) {
                endWatch(watcher, { kind: "done", value: changesSince(watcher.prefix, watcher.from) });
            }
        }
        return stored;
    }

    function changesSince(prefix: string, from: ObjectVersion): WatchBatch {
        const changed = [...objects.values()].filter(object => object.key.startsWith(prefix) && object.version > from);
        return { objects: structuredClone(changed), version: latest };
    }

    /** Returns a refusal, or undefined when the call may go on. */
    function admit(kind: "read" | "write"): PlatformOutcome<never> | undefined {
        const limit = kind === "read" ? readLimit : writeLimit;
        counts[kind === "read" ? "reads" : "writes"]++;
        if (faults.outage || !limit.take()) {
            counts.refused++;
            return { kind: "unavailable", reason: faults.outage ? "outage" : "over the limit" };
        }
        return undefined;
    }

    async function get(key: string): Promise<PlatformOutcome<StoredObject>> {
        const refused = admit("read");
        if (refused !== undefined) {
            return refused;
        }
        const found = objects.get(key);
        return found === undefined ? { kind: "absent" } : { kind: "done", value: structuredClone(found) };
    }

    async function list(prefix: string): Promise<PlatformOutcome<WatchBatch>> {
        const refused = admit("read");
        return refused ?? { kind: "done", value: changesSince(prefix, objectVersion(0)) };
    }

    async function create(key: string, value: unknown): Promise<PlatformOutcome<StoredObject>> {
        return admit("write") ?? write(key, value, objects.get(key) === undefined);
    }

    async function update(key: string, version: ObjectVersion, value: unknown): Promise<PlatformOutcome<StoredObject>> {
        const refused = admit("write");
        if (refused !== undefined) {
            return refused;
        }
        const current = objects.get(key);
        return current === undefined ? { kind: "absent" } : write(key, value, current.version === version);
    }

    function write(key: string, value: unknown, condition: boolean): PlatformOutcome<StoredObject> {
        if (faults.lostRequests > 0) {
            faults.lostRequests--;
            return { kind: "unknown", reason: "lost" };
        }
        if (!condition) {
            return { kind: "conflict" };
        }
        if (JSON.stringify(value).length > largestValue) {
            return { kind: "unavailable", reason: "value too large" };
        }
        const stored = put(key, value);
        if (faults.lostAnswers > 0) {
            faults.lostAnswers--;
            return { kind: "unknown", reason: "lost" };
        }
        return { kind: "done", value: stored };
    }

    async function watch(
        prefix: string,
        from: ObjectVersion,
        call: { readonly timeout: number; readonly signal: AbortSignal; },
    ): Promise<PlatformOutcome<WatchBatch>> {
        const refused = admit("read");
        if (refused !== undefined) {
            return refused;
        }
        const missed = changesSince(prefix, from);
        if (missed.objects.length > 0) {
            return { kind: "done", value: missed };
        }
        return new Promise(resolve => {
            const watcher: Watcher = { prefix, from, until: milliseconds(clock() + call.timeout), finish: resolve };
            watchers.add(watcher);
            counts.watchesWaiting++;
            counts.mostWatchesWaiting = Math.max(counts.mostWatchesWaiting, counts.watchesWaiting);
            call.signal.addEventListener("abort", () => {
                endWatch(watcher, { kind: "unavailable", reason: "aborted" });
            }, { once: true });
        });
    }

    function endWatch(watcher: Watcher, outcome: PlatformOutcome<WatchBatch>): void {
        if (watchers.delete(watcher)) {
            counts.watchesWaiting--;
            watcher.finish(outcome);
        }
    }
}

/** Allows so many calls in each second of the clock. */
function createCallLimit(clock: Clock, perSecond: number) {
    let second = -1;
    let taken = 0;
    return {
        take(): boolean {
            const now = Math.floor(clock() / 1000);
            if (now !== second) {
                second = now;
                taken = 0;
            }
            taken++;
            return taken <= perSecond;
        },
    };
}
