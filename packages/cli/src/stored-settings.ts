/**
 * Reads and edits the stored settings tree.
 *
 * Owns no state; relies on the store's conditional updates to merge edits of several operators.
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

/** Timeout of one call to the store in milliseconds; short because an operator is waiting. */
const callTimeout = 5000;
/** Maximum number of writes, which fail while other operators write at the same time. */
const maxAttempts = 8;

/** The tree and its version in the store. */
export interface VersionedSettings extends StoredSettings {
    readonly version: number;
}

/** Why an edit was rejected. */
type EditRejection =
    | { readonly kind: "clash"; readonly clashes: readonly EditConflict[]; }
    | { readonly kind: "faults"; readonly faults: readonly DocumentFault[]; };

/** Creates a client of the store that `--platform` or the environment names; throws a `CommandError` without one. */
function storeOf(context: CommandContext): SettingsStore {
    const address = parseAddress(context.flags.platform ?? process.env.CHALKDALE_PLATFORM ?? "");
    if (address === undefined) {
        throw new CommandError(
            "expected --platform IP:PORT, or IP:PORT in CHALKDALE_PLATFORM",
            exitCodes.usage,
        );
    }
    return createHttpStore(urlOf(address), context.signal);
}

/** Reads the tree; returns undefined if there is none yet. Throws a `CommandError` if the store does not answer. */
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

/** Reads the tree. Throws a `CommandError` if there is none yet or the store does not answer. */
export async function requireStoredSettings(context: CommandContext): Promise<VersionedSettings> {
    const stored = await readStoredSettings(context);
    if (stored === undefined) {
        throw new CommandError("the platform has no settings yet; apply a file first", exitCodes.failure);
    }
    return stored;
}

/**
 * Merges changes onto the stored tree by conditional updates and returns the
 * version that contains them. After a write whose answer was lost, the edit's id
 * shows whether it took effect. Throws a `CommandError` if the edit conflicts,
 * would leave the tree with faults, or could not be written.
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
    const outcome = await changeObject<StoredSettings, EditRejection>(
        storeOf(context),
        treeKey,
        current => decideChange(current ?? empty, edit),
        { timeout: callTimeout, signal: context.signal, maxAttempts },
    );
    return versionOf(outcome);
}

function decideChange(current: StoredSettings, edit: SettingsEdit) {
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

function versionOf(outcome: ChangeOutcome<StoredSettings, EditRejection>): number {
    switch (outcome.kind) {
        case "written":
        case "kept":
            return outcome.version;
        case "stopped":
            throw rejectionError(outcome.reason);
        case "unavailable":
            throw new CommandError(`nothing was written: ${outcome.reason}; try again later`, exitCodes.unavailable);
        case "unknown":
            throw new CommandError(
                `the edit may or may not be in force (${outcome.reason}); see settings history`,
                exitCodes.unavailable,
            );
    }
}

function rejectionError(rejection: EditRejection): CommandError {
    switch (rejection.kind) {
        case "clash":
            return new CommandError(
                [
                    "another operator changed the same values; nothing of yours was written:",
                    ...rejection.clashes.map(formatConflict),
                ]
                    .join("\n"),
                exitCodes.clash,
            );
        case "faults":
            return new CommandError(
                [
                    "the edited tree would have faults; nothing was written:",
                    ...rejection.faults.map(formatDocumentFault),
                ].join("\n"),
                exitCodes.settings,
            );
    }
}

function formatConflict({ node, key, from, theirs, ours }: EditConflict): string {
    return `  ${node} ${key}: it was ${formatValue(from)}, theirs is ${formatValue(theirs)}, yours is ${
        formatValue(ours)
    }`;
}

function formatDocumentFault({ node, key, expected }: DocumentFault): string {
    return `  ${node}${key === undefined ? "" : ` ${key}`}: ${expected}`;
}

/** Formats a setting's value for people. */
export function formatValue(value: unknown): string {
    return value === undefined ? "(not stated)" : JSON.stringify(value);
}

/** Returns an empty tree, to which the first file is applied. */
export function emptyTree(deployment: string): SettingsDocument {
    return { deployment, nodes: {} };
}
