/**
 * Checks across the nodes of a tree, and of trees that come from their store.
 *
 * Owns nothing; all faults are returned at once.
 */

import { Err, Ok, type Result } from "@chalkdale/kernel";
import { configuredBoxes, pathsOfKind } from "./paths.js";
import { documentSchema, nodeSchema } from "./schema.js";
import { kindOfPath, type NodePath, resolveValues, type SettingsDocument } from "./tree.js";
import type { SettingKey } from "./values.js";

/** A fault at a node of the tree. */
export interface DocumentFault {
    readonly node: NodePath;
    readonly key?: SettingKey;
    readonly expected: string;
}

/** Returns all faults that show only when nodes are seen together. */
export function checkDocument(document: SettingsDocument): DocumentFault[] {
    return [
        ...checkPlaces(document),
        ...checkCapacities(document),
        ...checkBoxes(document),
        ...checkServicePlaces(document),
        ...checkLatencies(document),
        ...checkLeases(document),
    ];
}

function checkPlaces(document: SettingsDocument): DocumentFault[] {
    const zones = pathsOfKind(document, "zone");
    const names = zones.map(lastName);
    const twice = zones.filter((path, index) => names.indexOf(lastName(path)) !== index);
    const empty = pathsOfKind(document, "region").filter(region => !zones.some(zone => zone.startsWith(`${region}/`)));
    return [
        ...twice.map(node => ({ node, expected: "expected a name that no other availability zone has" })),
        ...empty.map(node => ({ node, expected: "expected at least one availability zone" })),
    ];
}

function checkCapacities(document: SettingsDocument): DocumentFault[] {
    return pathsOfKind(document, "region")
        .filter(node => resolveValues(document, node).capacity <= 0)
        .map(node => ({ node, key: "capacity", expected: "expected a capacity here or at the root" }));
}

function checkBoxes(document: SettingsDocument): DocumentFault[] {
    const all = configuredBoxes(document);
    if (all.length === 0) {
        return [{ node: "/", expected: "expected an entry box in at least one availability zone" }];
    }
    return pathsOfKind(document, "zone")
        .filter(node => document.nodes[node].boxes?.some(box => all.filter(other => other === box).length > 1))
        .map(node => ({ node, key: "boxes", expected: "expected names that no other availability zone lists" }));
}

function checkServicePlaces(document: SettingsDocument): DocumentFault[] {
    const paths = [...pathsOfKind(document, "serviceRegion"), ...pathsOfKind(document, "serviceZone")];
    return paths
        .filter(node => document.nodes[`/regions/${node.split("/").slice(3).join("/")}`] === undefined)
        .map(node => ({ node, expected: "expected the name of a place under regions" }));
}

function checkLatencies(document: SettingsDocument): DocumentFault[] {
    return pathsOfKind(document, "region")
        .filter(node =>
            Object.keys(document.nodes[node].latencyTo ?? {}).some(name =>
                document.nodes[`/regions/${name}`] === undefined
            )
        )
        .map(node => ({ node, key: "latencyTo", expected: "expected names of regions only" }));
}

function checkLeases(document: SettingsDocument): DocumentFault[] {
    const { leaseTime, isolationTime } = resolveValues(document, "/");
    return isolationTime >= 2 && leaseTime >= 2
        ? []
        : [{ node: "/", key: "leaseTime", expected: "expected leaseTime and isolationTime of at least 2 s" }];
}

function lastName(path: NodePath): string {
    return path.slice(path.lastIndexOf("/") + 1);
}

/** Checks a tree that came as JSON, for instance from its store. */
export function checkJsonDocument(value: unknown): Result<SettingsDocument, readonly DocumentFault[]> {
    const parsed = documentSchema.safeParse(value);
    if (!parsed.success) {
        return Err([{ node: "/", expected: "expected a deployment and its nodes" }]);
    }
    const document = parsed.data as SettingsDocument;
    const nodeFaults = Object.entries(document.nodes).flatMap(([node, values]) => checkNode(node, values));
    const faults = nodeFaults.length > 0 ? nodeFaults : [...checkParents(document), ...checkDocument(document)];
    return faults.length > 0 ? Err(faults) : Ok(document);
}

function checkNode(node: NodePath, values: unknown): DocumentFault[] {
    const kind = kindOfPath(node);
    if (kind === undefined) {
        return [{ node, expected: "expected the path of a node" }];
    }
    const parsed = nodeSchema(kind).safeParse(values);
    return parsed.success
        ? []
        : parsed.error.issues.map(issue => ({
            node,
            key: issue.path[0] as SettingKey,
            expected: issue.message,
        }));
}

function checkParents(document: SettingsDocument): DocumentFault[] {
    return pathsOfKind(document, "zone")
        .filter(path => document.nodes[path.slice(0, path.lastIndexOf("/"))] === undefined)
        .map(node => ({ node, expected: "expected its region in the tree" }));
}
