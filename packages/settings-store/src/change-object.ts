/**
 * Read, change and write back one object until it stands.
 *
 * Owns no state; relies on conditional updates of the store.
 */

import { type ObjectVersion, objectVersion } from "@chalkdale/kernel";
import type { CallOptions, SettingsStore, StoredObject, StoreOutcome } from "./settings-store.js";

/** What a change makes of an object's value: the next value, or a reason to stop. */
export type ChangeDecision<Value, Reason> =
    | { readonly kind: "write"; readonly value: Value; }
    /** The value already is as wanted. */
    | { readonly kind: "keep"; }
    | { readonly kind: "stop"; readonly reason: Reason; };

/** How a change ended. */
export type ChangeOutcome<Value, Reason> =
    | { readonly kind: "written"; readonly value: Value; readonly version: ObjectVersion; }
    | { readonly kind: "kept"; readonly value: Value; readonly version: ObjectVersion; }
    | { readonly kind: "stopped"; readonly reason: Reason; }
    | { readonly kind: "unavailable"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };

/** Bounds of a change. */
export interface ChangeOptions extends CallOptions {
    /** Writes that are tried when others write at the same time. */
    readonly maxAttempts: number;
}

/**
 * Changes an object under conditional update. After a write whose answer was
 * lost the object is read again; the step function must then recognise its
 * own write and answer `keep`, or write again if it did not take effect.
 */
export async function changeObject<Value, Reason>(
    store: SettingsStore,
    key: string,
    step: (current: Value | undefined) => ChangeDecision<Value, Reason>,
    options: ChangeOptions,
): Promise<ChangeOutcome<Value, Reason>> {
    let lostAnswer: string | undefined;
    for (let attempt = 0; attempt < options.maxAttempts; attempt++) {
        const read = await store.get(key, options);
        if (read.kind !== "done" && read.kind !== "absent") {
            return failure(read, lostAnswer);
        }
        const current = read.kind === "done" ? read.value : undefined;
        const next = step(current?.value as Value | undefined);
        switch (next.kind) {
            case "stop":
                return { kind: "stopped", reason: next.reason };
            case "keep":
                return {
                    kind: "kept",
                    value: current?.value as Value,
                    version: current?.version ?? objectVersion(0),
                };
            case "write": {
                const written = await write(store, key, current, next.value, options);
                if (written.kind === "done") {
                    return { kind: "written", value: next.value, version: written.value.version };
                }
                if (written.kind === "unavailable") {
                    return failure(written, lostAnswer);
                }
                if (written.kind === "unknown") {
                    lostAnswer = written.reason;
                }
            }
        }
    }
    return lostAnswer === undefined
        ? { kind: "unavailable", reason: "too many writers at once" }
        : { kind: "unknown", reason: lostAnswer };
}

function write(
    store: SettingsStore,
    key: string,
    current: StoredObject | undefined,
    value: unknown,
    options: CallOptions,
): Promise<StoreOutcome<StoredObject>> {
    return current === undefined
        ? store.create(key, value, options)
        : store.update(key, current.version, value, options);
}

function failure<Value, Reason>(
    outcome: StoreOutcome<unknown>,
    lostAnswer: string | undefined,
): ChangeOutcome<Value, Reason> {
    const reason = "reason" in outcome ? outcome.reason : outcome.kind;
    return lostAnswer === undefined
        ? { kind: "unavailable", reason }
        : { kind: "unknown", reason: `${lostAnswer}, then ${reason}` };
}
