/**
 * Messages between boxes about their replicas of shared state, and the validation of received ones. Field names are
 * those of the messages.
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

/** How far one replica reaches. */
export interface ReplicaProgress {
    /** Revision of the last change that the replica holds. */
    readonly changed: number;
    /** The replica is complete up to this revision. */
    readonly complete: number;
    /**
     * Milliseconds since the store confirmed that. On a box that has just started, a first list, which may be stale,
     * counts in part.
     */
    readonly age: number;
    /**
     * The same without that first list. Sent for the configuration and for roll-outs; earlier releases don't send it.
     */
    readonly provenAge?: number;
}

/**
 * The replicas of one box, by kind. Earlier releases, and boxes without roll-outs, send only the kinds that all boxes
 * replicate.
 */
export type StateDigest =
    & Readonly<Record<(typeof requiredKinds)[number], ReplicaProgress>>
    & Readonly<Partial<Record<SharedKind, ReplicaProgress>>>
    & {
        /** The store rejects the box's calls or doesn't answer them; earlier releases don't send this. */
        readonly turnedAway?: boolean;
    };

/** Changes of one kind that a relay sends to its region. */
export interface StateUpdate<Kind extends SharedKind = SharedKind> {
    readonly kind: Kind;
    /** `changes` has every change after this revision, up to `complete`. */
    readonly since: number;
    readonly complete: number;
    readonly changes: readonly ItemChange<SharedItems[Kind]>[];
}

/** Returns true for a valid digest. */
export function isStateDigest(value: unknown): value is StateDigest {
    const digest = value as Partial<StateDigest> | undefined;
    return typeof digest === "object" && digest !== null && requiredKinds.every(kind => isReplicaProgress(digest[kind]))
        && sharedKinds.every(kind => digest[kind] === undefined || isReplicaProgress(digest[kind]))
        && (digest.turnedAway === undefined || typeof digest.turnedAway === "boolean");
}

/** Returns true for a valid update. */
export function isStateUpdate(value: unknown): value is StateUpdate {
    const update = value as Partial<StateUpdate> | undefined;
    return typeof update === "object" && update !== null
        && sharedKinds.some(kind => kind === update.kind)
        && Number.isFinite(update.since) && Number.isFinite(update.complete)
        && Array.isArray(update.changes) && update.changes.every(change => isItemChange(update.kind!, change));
}

/** Returns true for a valid answer of a box to a read: the changes that the reader's replica lacks. */
export function isMissingChanges<Kind extends SharedKind>(
    kind: Kind,
    value: unknown,
): value is MissingChanges<SharedItems[Kind]> {
    const missing = value as Partial<MissingChanges<unknown>> | undefined;
    return typeof missing === "object" && missing !== null
        && Number.isFinite(missing.since) && Number.isFinite(missing.revision)
        && Array.isArray(missing.changes) && missing.changes.every(change => isItemChange(kind, change));
}

/** Returns true for a valid item of a kind: every field that a box reads is present and has its type. */
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

/** Earlier releases send neither `version` nor `createdAt` nor `bornAt`. */
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

/** A configuration without `access`, as earlier releases send it, or with an unknown kind would admit every caller. */
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

/** The same for optional fields of a value that is known to be an object. */
function hasOptionalTypes(value: unknown, types: Readonly<Record<string, TypeName>>): boolean {
    const fields = value as Readonly<Record<string, unknown>>;
    return Object.entries(types).every(([name, type]) => fields[name] === undefined || typeof fields[name] === type);
}

function isReplicaProgress(progress: ReplicaProgress | undefined): boolean {
    return typeof progress === "object" && progress !== null
        && [progress.changed, progress.complete, progress.age, progress.provenAge ?? 0].every(Number.isFinite);
}

/** Returns true for a valid change of an item of a kind. */
export function isItemChange(kind: SharedKind, value: unknown): boolean {
    const change = value as Partial<ItemChange<unknown>> & { readonly item?: unknown; } | undefined;
    if (typeof change !== "object" || change === null || typeof change.name !== "string") {
        return false;
    }
    return change.kind === "gone" || change.kind === "put" && isSharedItem(kind, change.item);
}
