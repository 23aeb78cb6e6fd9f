/**
 * What boxes say to each other about their copies of shared state, and the check
 * of what arrives. Field names are those of the messages.
 */

import {
    type BackendServerRecord,
    type CallerAccess,
    type Configuration,
    type ItemChange,
    type MissingChanges,
    requiredKinds,
    type RolloutOrder,
    type SharedItems,
    type SharedKind,
    sharedKinds,
} from "@chalkdale/decisions";

/** How far one copy reaches. */
export interface ReplicaProgress {
    /** Revision of the last change that it holds. */
    readonly changed: number;
    /** It is complete up to this revision. */
    readonly complete: number;
    /** Milliseconds since the store confirmed that; a box that has just started may count its first list. */
    readonly age: number;
    /** The same without that list. Told of the configuration and of roll-outs; earlier releases do not tell it. */
    readonly provenAge?: number;
}

/** The copies of one box, by kind. Earlier releases, and boxes without roll-outs, tell only of the kinds that all copy. */
export type StateDigest =
    & Readonly<Record<(typeof requiredKinds)[number], ReplicaProgress>>
    & Readonly<Partial<Record<SharedKind, ReplicaProgress>>>
    & {
        /** The store turns the box away, or does not answer it; earlier releases do not tell it. */
        readonly turnedAway?: boolean;
    };

/** Changes of one kind, as a relay passes them on. */
export interface StateUpdate<Kind extends SharedKind = SharedKind> {
    readonly kind: Kind;
    /** The changes are all those after this revision and up to `complete`. */
    readonly since: number;
    readonly complete: number;
    readonly changes: readonly ItemChange<SharedItems[Kind]>[];
}

/** True for a digest as boxes send it. */
export function isStateDigest(value: unknown): value is StateDigest {
    const digest = value as Partial<StateDigest> | undefined;
    return typeof digest === "object" && digest !== null && requiredKinds.every(kind => isCopyState(digest[kind]))
        && sharedKinds.every(kind => digest[kind] === undefined || isCopyState(digest[kind]))
        && (digest.turnedAway === undefined || typeof digest.turnedAway === "boolean");
}

/** True for an update as boxes send it. */
export function isStateUpdate(value: unknown): value is StateUpdate {
    const update = value as Partial<StateUpdate> | undefined;
    return typeof update === "object" && update !== null
        && sharedKinds.some(kind => kind === update.kind)
        && Number.isFinite(update.since) && Number.isFinite(update.complete)
        && Array.isArray(update.changes) && update.changes.every(change => isItemChange(update.kind!, change));
}

/** True for the changes that a copy lacks, as boxes send them. */
export function isMissingChanges<Kind extends SharedKind>(
    kind: Kind,
    value: unknown,
): value is MissingChanges<SharedItems[Kind]> {
    const missing = value as Partial<MissingChanges<unknown>> | undefined;
    return typeof missing === "object" && missing !== null
        && Number.isFinite(missing.since) && Number.isFinite(missing.revision)
        && Array.isArray(missing.changes) && missing.changes.every(change => isItemChange(kind, change));
}

/** True for an item of a kind as boxes send it: what the box reads of it is there and of its type. */
export function isSharedItem(kind: SharedKind, item: unknown): boolean {
    switch (kind) {
        case "configuration":
            return hasTypes(item, configurationTypes) && isCallerAccess((item as Configuration).access);
        case "servers":
            return hasTypes(item, serverTypes) && hasOptionalTypes(item, optionalServerTypes);
        case "closedZones":
            return typeof item === "string";
        case "rollouts":
            return hasTypes(item, rolloutTypes) && isRolloutState((item as RolloutOrder).state);
    }
}

type TypeName = "string" | "number" | "boolean" | "object";

const configurationTypes: Readonly<Record<keyof Configuration, TypeName>> = {
    version: "number",
    routes: "object",
    services: "object",
    limits: "object",
    access: "object",
};

/** Earlier releases tell neither the version nor the creation, nor when a server was born. */
const serverTypes: Readonly<
    Record<Exclude<keyof BackendServerRecord, "version" | "createdAt" | "bornAt">, TypeName>
> = {
    id: "string",
    service: "string",
    address: "string",
    zone: "string",
    region: "string",
    slots: "number",
    draining: "boolean",
    coldFor: "number",
    revision: "number",
};

const optionalServerTypes = { version: "string", createdAt: "number", bornAt: "number" } as const;

const rolloutTypes: Readonly<Record<Exclude<keyof RolloutOrder, "state">, TypeName>> = {
    service: "string",
    targetVersion: "string",
    duration: "number",
    createdAt: "number",
    revision: "number",
};

function isRolloutState(state: unknown): boolean {
    return state === undefined || state === "running" || state === "completed" || state === "rolledBack";
}

/** A copy without it, as earlier releases have, or with another kind would let anyone in. */
function isCallerAccess(access: CallerAccess): boolean {
    return access.kind === "anyone" || access.kind === "customers" && Array.isArray(access.customers);
}

function hasTypes(value: unknown, types: Readonly<Record<string, TypeName>>): boolean {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const fields = value as Readonly<Record<string, unknown>>;
    return Object.entries(types).every(([name, type]) => typeof fields[name] === type && fields[name] !== null);
}

/** The same for fields that may be missing, in a value that is known to be a table. */
function hasOptionalTypes(value: unknown, types: Readonly<Record<string, TypeName>>): boolean {
    const fields = value as Readonly<Record<string, unknown>>;
    return Object.entries(types).every(([name, type]) => fields[name] === undefined || typeof fields[name] === type);
}

function isCopyState(state: ReplicaProgress | undefined): boolean {
    return typeof state === "object" && state !== null
        && [state.changed, state.complete, state.age, state.provenAge ?? 0].every(Number.isFinite);
}

/** True for one change of a kind, as boxes send it. */
export function isItemChange(kind: SharedKind, value: unknown): boolean {
    const change = value as Partial<ItemChange<unknown>> & { readonly item?: unknown; } | undefined;
    if (typeof change !== "object" || change === null || typeof change.name !== "string") {
        return false;
    }
    return change.kind === "gone" || change.kind === "put" && isSharedItem(kind, change.item);
}
