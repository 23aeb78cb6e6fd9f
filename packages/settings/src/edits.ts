/**
 * Edits of the tree: changes of single values, merged onto a tree that others
 * may have edited meanwhile.
 *
 * Pure. An edit that conflicts with another is returned as a failure, and none
 * of its changes is applied.
 */

import { Err, Ok, type Result } from "@chalkdale/kernel";
import { isDeepStrictEqual } from "node:util";
import type { NodePath, SettingsDocument } from "./tree.js";

/** The change of one value; undefined means that the node does not state the setting. */
export interface ValueChange {
    readonly node: NodePath;
    readonly key: string;
    readonly from: unknown;
    readonly to: unknown;
}

/** The changes that one operator makes at once. */
export interface SettingsEdit {
    /** Unique. A writer that lost the store's answer finds out by it whether its edit was stored. */
    readonly id: string;
    readonly author: string;
    /** Wall-clock time in ISO 8601. */
    readonly at: string;
    readonly changes: readonly ValueChange[];
}

/** The tree and its latest edits, as the store keeps them. */
export interface StoredSettings {
    readonly document: SettingsDocument;
    /** Latest edits, newest last; at most {@link maxEdits}. */
    readonly edits: readonly SettingsEdit[];
}

/** A value that two operators changed differently. */
export interface EditConflict {
    readonly node: NodePath;
    readonly key: string;
    /** Value that this edit is based on. */
    readonly from: unknown;
    /** Value that is stored now, written by another operator. */
    readonly theirs: unknown;
    /** Value that this edit sets. */
    readonly ours: unknown;
}

/** Number of edits that are kept with the tree. */
const maxEdits = 50;

/** Returns the changes that turn one tree into another, sorted by node and key. */
export function changesBetween(from: SettingsDocument, to: SettingsDocument): ValueChange[] {
    const nodes = [...new Set([...Object.keys(from.nodes), ...Object.keys(to.nodes)])].sort();
    return nodes.flatMap(node => changesAtNode(node, from, to));
}

/** Key of a change that adds (`to: true`) or removes (`to: false`) the node itself. */
export const nodeExistenceKey = "";

function changesAtNode(node: NodePath, from: SettingsDocument, to: SettingsDocument): ValueChange[] {
    const before = from.nodes[node] as Record<string, unknown> | undefined;
    const after = to.nodes[node] as Record<string, unknown> | undefined;
    const keys = [...new Set([...Object.keys(before ?? {}), ...Object.keys(after ?? {})])].sort();
    const values = keys
        .filter(key => !isDeepStrictEqual(before?.[key], after?.[key]))
        .map(key => ({ node, key, from: before?.[key], to: after?.[key] }));
    if ((before === undefined) === (after === undefined)) {
        return values;
    }
    const existence = { node, key: nodeExistenceKey, from: before !== undefined, to: after !== undefined };
    return after === undefined ? [...values, existence] : [existence, ...values];
}

/**
 * Applies an edit to the current tree. Values that others changed are kept. If
 * the edit changes one of them to something else, that is a conflict: all
 * conflicts are returned and nothing is applied. An edit whose id is in the list
 * already changes nothing, and the stored settings are returned as they are.
 */
export function applyEdit(stored: StoredSettings, edit: SettingsEdit): Result<StoredSettings, readonly EditConflict[]> {
    if (stored.edits.some(known => known.id === edit.id)) {
        return Ok(stored);
    }
    const conflicts = edit.changes.flatMap(change => conflictOf(stored.document, change));
    if (conflicts.length > 0) {
        return Err(conflicts);
    }
    const document = edit.changes.reduce(applyChange, stored.document);
    return Ok({ document, edits: [...stored.edits, edit].slice(-maxEdits) });
}

function conflictOf(document: SettingsDocument, change: ValueChange): EditConflict[] {
    const theirs = valueAt(document, change);
    const isMergeable = isDeepStrictEqual(theirs, change.from) || isDeepStrictEqual(theirs, change.to);
    return isMergeable ? [] : [{ node: change.node, key: change.key, from: change.from, theirs, ours: change.to }];
}

function valueAt(document: SettingsDocument, { node, key }: ValueChange): unknown {
    const values = document.nodes[node] as Record<string, unknown> | undefined;
    return key === nodeExistenceKey ? values !== undefined : values?.[key];
}

function applyChange(document: SettingsDocument, change: ValueChange): SettingsDocument {
    const nodes: Record<string, Record<string, unknown>> = { ...document.nodes };
    if (change.key === nodeExistenceKey) {
        if (change.to === false) {
            delete nodes[change.node];
        }
        else {
            nodes[change.node] ??= {};
        }
        return { ...document, nodes };
    }
    const values = { ...nodes[change.node] };
    if (change.to === undefined) {
        delete values[change.key];
    }
    else {
        values[change.key] = change.to;
    }
    nodes[change.node] = values;
    return { ...document, nodes };
}
