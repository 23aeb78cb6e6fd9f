/**
 * Finds nodes of the settings tree by kind.
 *
 * Pure; relies on `tree` for the kinds of paths.
 */

import { kindOfPath, type NodeKind, type NodePath, type SettingsDocument } from "./tree.js";

/** Returns the paths of all nodes of one kind in the document, sorted. */
export function pathsOfKind(document: SettingsDocument, kind: NodeKind): NodePath[] {
    return Object.keys(document.nodes).filter(path => kindOfPath(path) === kind).sort();
}

/** Returns the names of all configured boxes, ordered by the path of their availability zone; duplicates are kept. */
export function configuredBoxes(document: SettingsDocument): string[] {
    return pathsOfKind(document, "zone").flatMap(path => document.nodes[path]?.boxes ?? []);
}
