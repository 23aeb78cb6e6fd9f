/**
 * Stand-in for the store of the settings tree, in memory and without I/O: versions, conditional updates, and faults
 * that tests switch on.
 */

import { type ObjectVersion, objectVersion } from "@chalkdale/kernel";
import type { SettingsStore, StoredObject, StoreOutcome } from "@chalkdale/settings-store";

/** Faults to simulate. */
interface StoreFaults {
    /** All calls fail as unavailable. */
    outage: boolean;
    /** Number of next writes that take effect although their answers are lost. */
    lostAnswers: number;
}

/** The stand-in. */
export interface SettingsStoreStandIn {
    readonly calls: SettingsStore;
    readonly faults: StoreFaults;
    /** Sets an object unconditionally, as another writer does. */
    readonly put: (key: string, value: unknown) => StoredObject;
    readonly read: (key: string) => StoredObject | undefined;
}

/** Creates an empty store. */
export function createSettingsStoreStandIn(): SettingsStoreStandIn {
    const objects = new Map<string, StoredObject>();
    const faults: StoreFaults = { outage: false, lostAnswers: 0 };
    let latest = objectVersion(0);

    return { calls: { get, create, update }, faults, put, read: key => objects.get(key) };

    function put(key: string, value: unknown): StoredObject {
        latest = objectVersion(latest + 1);
        const stored: StoredObject = { key, version: latest, value: structuredClone(value) };
        objects.set(key, stored);
        return stored;
    }

    async function get(key: string): Promise<StoreOutcome<StoredObject>> {
        if (faults.outage) {
            return outage;
        }
        const found = objects.get(key);
        return found === undefined ? { kind: "absent" } : { kind: "done", value: structuredClone(found) };
    }

    async function create(key: string, value: unknown): Promise<StoreOutcome<StoredObject>> {
        return write(key, value, objects.get(key) === undefined);
    }

    async function update(key: string, version: ObjectVersion, value: unknown): Promise<StoreOutcome<StoredObject>> {
        const current = objects.get(key);
        return current === undefined ? { kind: "absent" } : write(key, value, current.version === version);
    }

    function write(key: string, value: unknown, condition: boolean): StoreOutcome<StoredObject> {
        if (faults.outage) {
            return outage;
        }
        if (!condition) {
            return { kind: "conflict" };
        }
        const stored = put(key, value);
        if (faults.lostAnswers > 0) {
            faults.lostAnswers--;
            return { kind: "unknown", reason: "lost" };
        }
        return { kind: "done", value: stored };
    }
}

const outage = { kind: "unavailable", reason: "outage" } as const;
