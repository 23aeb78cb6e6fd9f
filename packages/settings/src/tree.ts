/**
 * The settings tree: nodes by path, and how a path resolves to values.
 *
 * Paths: `/` is the root; `/regions/R` and `/regions/R/Z` describe places;
 * `/services/S`, `/services/S/R` and `/services/S/R/Z` describe a service in
 * general, in one region, and in one availability zone.
 */

import { defaultValues, type NodeValues, type SettingKey, type SettingValues } from "./values.js";

/** Path of a node, for instance `/services/profil-api/ro-nord`. */
export type NodePath = string;

/** The whole tree as its store keeps it. */
export interface SettingsDocument {
    readonly deployment: string;
    readonly nodes: Readonly<Record<NodePath, NodeValues>>;
}

/** A value and the node it came from; `default` when no node states it. */
export interface ResolvedValue {
    readonly key: SettingKey;
    readonly value: SettingValues[SettingKey];
    readonly from: NodePath | "default";
}

/** The kinds of node, by the shape of their path. */
export type NodeKind = "root" | "region" | "zone" | "service" | "serviceRegion" | "serviceZone";

/** Returns the kind of node a path names, or undefined for a path of another shape. */
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

/** Returns the paths from the root to the node, both included. */
function lineageOf(path: NodePath): NodePath[] {
    if (path === "/") {
        return ["/"];
    }
    const parts = path.split("/").slice(1);
    const lineage: NodePath[] = ["/"];
    for (let length = 2; length <= parts.length; length++) {
        lineage.push(`/${parts.slice(0, length).join("/")}`);
    }
    return lineage;
}

/** Returns all settings in force at a path. Nearer nodes win over farther ones. */
export function resolveValues(document: SettingsDocument, path: NodePath): SettingValues {
    const stated = lineageOf(path).map(step => document.nodes[step] ?? {});
    return Object.assign({}, defaultValues, ...stated) as SettingValues;
}

/** Returns each setting in force at a path together with the node that states it. */
export function explainValues(document: SettingsDocument, path: NodePath): ResolvedValue[] {
    const lineage = lineageOf(path).reverse();
    const keys = Object.keys(defaultValues) as SettingKey[];
    return keys.map(key => {
        const from = lineage.find(step => document.nodes[step]?.[key] !== undefined);
        const value = from === undefined ? defaultValues[key] : document.nodes[from][key]!;
        return { key, value, from: from ?? "default" };
    });
}
