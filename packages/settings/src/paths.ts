/**
 * Finds nodes of the settings tree by kind.
 *
 * Owns nothing; relies on the forms of paths in `tree`.
 */

import { kindOfPath, type NodeKind, type NodePath, type SettingsDocument } from "./tree.js";

/** Returns the paths of one kind that the document names, sorted. */
export function pathsOfKind(document: SettingsDocument, kind: NodeKind): NodePath[] {
    return Object.keys(document.nodes).filter(path => kindOfPath(path) === kind).sort();
}

/** Returns the names of all configured boxes, by availability zone in the order of paths. */
export function configuredBoxes(document: SettingsDocument): string[] {
    return pathsOfKind(document, "zone").flatMap(path => document.nodes[path]?.boxes ?? []);
}
