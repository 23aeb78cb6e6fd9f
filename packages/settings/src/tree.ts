/**
 * The settings tree: nodes by path, and the inheritance of values along a path.
 *
 * Paths: `/` is the root; `/regions/R` and `/regions/R/Z` are a region and an
 * availability zone; `/services/S`, `/services/S/R` and `/services/S/R/Z` are a
 * service in general, in one region, and in one availability zone.
 */

import { defaultValues, type NodeValues, type SettingKey, type SettingValues } from "./values.js";

/** Path of a node, such as `/services/profil-api/ro-nord`. */
export type NodePath = string;

/** The whole tree as its store keeps it. */
export interface SettingsDocument {
    readonly deployment: string;
    readonly nodes: Readonly<Record<NodePath, NodeValues>>;
}

/** A value and the node that states it, or `default` if no node does. */
export interface ResolvedValue {
    readonly key: SettingKey;
    readonly value: SettingValues[SettingKey];
    readonly from: NodePath | "default";
}

/** Kinds of nodes, distinguished by the form of their path. */
export type NodeKind = "root" | "region" | "zone" | "service" | "serviceRegion" | "serviceZone";

/** Returns the kind of node that a path names, or undefined if it is not a valid path. The node need not exist. */
export function kindOfPath(path: NodePath): NodeKind | undefined {
    if (path === "/") {
        return "root";
    }
    const [, branch, ...names] = path.split("/");
    if (names.some(name => name === "")) {
        return undefined;
    }
    if (branch === "regions") {
        return ([undefined, "region", "zone"] as const)[names.length];
    }
    if (branch === "services") {
        return ([undefined, "service", "serviceRegion", "serviceZone"] as const)[names.length];
    }
    return undefined;
}

/** Returns the paths on which a node's values may be stated, from the root to the node itself. */
function inheritancePath(path: NodePath): NodePath[] {
    if (path === "/") {
        return ["/"];
    }
    const parts = path.split("/").slice(1);
    const inheritance: NodePath[] = ["/"];
    for (let length = 2; length <= parts.length; length++) {
        inheritance.push(`/${parts.slice(0, length).join("/")}`);
    }
    return inheritance;
}

/** Returns all settings in force at a path. A node's values override those of the nodes above it. */
export function resolveValues(document: SettingsDocument, path: NodePath): SettingValues {
    const stated = inheritancePath(path).map(step => document.nodes[step] ?? {});
    return Object.assign({}, defaultValues, ...stated) as SettingValues;
}

/** Returns each setting in force at a path, with the node that states it. */
export function explainValues(document: SettingsDocument, path: NodePath): ResolvedValue[] {
    const inheritance = inheritancePath(path).reverse();
    const keys = Object.keys(defaultValues) as SettingKey[];
    return keys.map(key => {
        const from = inheritance.find(step => document.nodes[step]?.[key] !== undefined);
        const value = from === undefined ? defaultValues[key] : document.nodes[from][key]!;
        return { key, value, from: from ?? "default" };
    });
}
