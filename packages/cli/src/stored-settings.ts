/**
 * The settings tree in its store, as the command line reads and edits it.
 */

import { exitCodes, parseAddress, urlOf } from "@chalkdale/runtime";
import {
    applyEdit,
    checkJsonDocument,
    type DocumentFault,
    type EditConflict,
    type SettingsDocument,
    type SettingsEdit,
    type StoredSettings,
    type ValueChange,
} from "@chalkdale/settings";
import {
    changeObject,
    type ChangeOutcome,
    createHttpStore,
    type SettingsStore,
    treeKey,
} from "@chalkdale/settings-store";
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { type CommandContext, CommandError } from "./command.js";

/** Milliseconds for one call of the store; an operator waits for it. */
const callTimeout = 5000;
/** Writes that are tried while other operators write at the same time. */
const attempts = 8;

/** The tree with the version that its store gave it. */
export interface VersionedSettings extends StoredSettings {
    readonly version: number;
}

/** Why an edit was not taken. */
type Refusal =
    | { readonly kind: "clash"; readonly clashes: readonly EditConflict[]; }
    | { readonly kind: "faults"; readonly faults: readonly DocumentFault[]; };

/** Returns the store of the settings tree that `--platform` names. */
function storeOf(context: CommandContext): SettingsStore {
    const address = parseAddress(context.flags.platform ?? process.env.CHALKDALE_PLATFORM ?? "");
    if (address === undefined) {
        throw new CommandError(
            "name the platform with --platform IP:PORT or CHALKDALE_PLATFORM",
            exitCodes.usage,
        );
    }
    return createHttpStore(urlOf(address), context.signal);
}

/** Reads the tree; undefined when there is none yet. */
export async function readStoredSettings(context: CommandContext): Promise<VersionedSettings | undefined> {
    const call = { timeout: callTimeout, signal: context.signal };
    const read = await storeOf(context).get(treeKey, call);
    switch (read.kind) {
        case "done":
            return { ...read.value.value as StoredSettings, version: read.value.version };
        case "absent":
            return undefined;
        case "conflict":
        case "unavailable":
        case "unknown":
            throw new CommandError("the platform does not answer; try again later", exitCodes.unavailable);
    }
}

/** Reads the tree; fails when there is none. */
export async function requireStoredSettings(context: CommandContext): Promise<VersionedSettings> {
    const stored = await readStoredSettings(context);
    if (stored === undefined) {
        throw new CommandError("no settings yet; apply a file first", exitCodes.failure);
    }
    return stored;
}

/**
 * Merges changes onto the tree under conditional update and returns the
 * version that holds them. A write whose answer was lost is settled by the
 * edit's id.
 */
export async function writeChanges(
    changes: readonly ValueChange[],
    deployment: string,
    context: CommandContext,
): Promise<number> {
    const edit: SettingsEdit = {
        id: randomUUID(),
        author: context.flags.author ?? userInfo().username,
        at: new Date().toISOString(),
        changes,
    };
    const empty: StoredSettings = { document: { deployment, nodes: {} }, edits: [] };
    const outcome = await changeObject<StoredSettings, Refusal>(
        storeOf(context),
        treeKey,
        current => stepOf(current ?? empty, edit),
        { timeout: callTimeout, signal: context.signal, maxAttempts: attempts },
    );
    return versionOf(outcome);
}

function stepOf(current: StoredSettings, edit: SettingsEdit) {
    const applied = applyEdit(current, edit);
    if (applied.err) {
        return { kind: "stop", reason: { kind: "clash", clashes: applied.val } } as const;
    }
    if (applied.val === current) {
        return { kind: "keep" } as const;
    }
    const checked = checkJsonDocument(applied.val.document);
    if (checked.err) {
        return { kind: "stop", reason: { kind: "faults", faults: checked.val } } as const;
    }
    return { kind: "write", value: applied.val } as const;
}

function versionOf(outcome: ChangeOutcome<StoredSettings, Refusal>): number {
    switch (outcome.kind) {
        case "written":
        case "kept":
            return outcome.version;
        case "stopped":
            throw refusalError(outcome.reason);
        case "unavailable":
            throw new CommandError(`nothing was written: ${outcome.reason}; try again later`, exitCodes.unavailable);
        case "unknown":
            throw new CommandError(
                `the edit may or may not be in force (${outcome.reason}); see settings history`,
                exitCodes.unavailable,
            );
    }
}

function refusalError(refusal: Refusal): CommandError {
    switch (refusal.kind) {
        case "clash":
            return new CommandError(
                [
                    "another operator changed the same values; nothing of yours was written:",
                    ...refusal.clashes.map(clashLine),
                ]
                    .join("\n"),
                exitCodes.clash,
            );
        case "faults":
            return new CommandError(
                ["the tree would have faults; nothing was written:", ...refusal.faults.map(faultLine)].join("\n"),
                exitCodes.settings,
            );
    }
}

function clashLine({ node, key, from, theirs, ours }: EditConflict): string {
    return `  ${node} ${key}: it was ${formatValue(from)}, theirs is ${formatValue(theirs)}, yours is ${
        formatValue(ours)
    }`;
}

function faultLine({ node, key, expected }: DocumentFault): string {
    return `  ${node}${key === undefined ? "" : ` ${key}`}: ${expected}`;
}

/** Returns a value for people. */
export function formatValue(value: unknown): string {
    return value === undefined ? "(not stated)" : JSON.stringify(value);
}

/** An empty tree, from which the first file is applied. */
export function emptyTree(deployment: string): SettingsDocument {
    return { deployment, nodes: {} };
}
