/**
 * Edits of the tree: changes of single values, merged onto whatever others
 * have written meanwhile.
 *
 * Owns nothing; a clash is an answer, and nothing of the edit is applied then.
 */

import { Err, Ok, type Result } from "@chalkdale/kernel";
import { isDeepStrictEqual } from "node:util";
import type { NodePath, SettingsDocument } from "./tree.js";

/** The change of one value; undefined stands for "not stated at this node". */
export interface ValueChange {
    readonly node: NodePath;
    readonly key: string;
    readonly from: unknown;
    readonly to: unknown;
}

/** What one operator asks for. */
export interface SettingsEdit {
    /** Unique; by it a writer whose answer was lost finds out what became of the write. */
    readonly id: string;
    readonly author: string;
    /** Wall-clock time, ISO 8601. */
    readonly at: string;
    readonly changes: readonly ValueChange[];
}

/** The tree in its store, with its latest edits. */
export interface StoredSettings {
    readonly document: SettingsDocument;
    /** Latest edits, newest last; at most {@link editsKept}. */
    readonly edits: readonly SettingsEdit[];
}

/** A value that two operators changed differently. */
export interface EditConflict {
    readonly node: NodePath;
    readonly key: string;
    /** What the second operator started from. */
    readonly from: unknown;
    /** What the other operator wrote. */
    readonly theirs: unknown;
    /** What the second operator asks for. */
    readonly ours: unknown;
}

/** Edits kept with the tree. */
const editsKept = 50;

/** Returns the changes that lead from one tree to another, in the order of nodes and keys. */
export function changesBetween(from: SettingsDocument, to: SettingsDocument): ValueChange[] {
    const nodes = [...new Set([...Object.keys(from.nodes), ...Object.keys(to.nodes)])].sort();
    return nodes.flatMap(node => changesAtNode(node, from, to));
}

/** Stands as the key of a change that adds or removes a node itself. */
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
 * Applies an edit to the tree as it stands now. Values that others changed
 * are kept unless the edit changes the same value to something else; that is
 * a clash, and nothing of the edit is applied. An edit already in the list
 * changes nothing.
 */
export function applyEdit(stored: StoredSettings, edit: SettingsEdit): Result<StoredSettings, readonly EditConflict[]> {
    if (stored.edits.some(known => known.id === edit.id)) {
        return Ok(stored);
    }
    const clashes = edit.changes.flatMap(change => clashOf(stored.document, change));
    if (clashes.length > 0) {
        return Err(clashes);
    }
    const document = edit.changes.reduce(applyChange, stored.document);
    return Ok({ document, edits: [...stored.edits, edit].slice(-editsKept) });
}

function clashOf(document: SettingsDocument, change: ValueChange): EditConflict[] {
    const theirs = valueAt(document, change);
    const settled = isDeepStrictEqual(theirs, change.from) || isDeepStrictEqual(theirs, change.to);
    return settled ? [] : [{ node: change.node, key: change.key, from: change.from, theirs, ours: change.to }];
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
