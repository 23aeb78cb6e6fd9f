/**
 * Validates a settings tree across its nodes, and validates whole trees that are
 * read as JSON.
 *
 * Pure. Each check returns all faults that it finds, not only the first.
 */

import { Err, Ok, type Result } from "@chalkdale/kernel";
import { configuredBoxes, pathsOfKind } from "./paths.js";
import { documentSchema, nodeSchema } from "./schema.js";
import { kindOfPath, type NodePath, resolveValues, type SettingsDocument } from "./tree.js";
import type { SettingKey } from "./values.js";

/** A fault at a node of the tree, or at one of its settings. */
export interface DocumentFault {
    readonly node: NodePath;
    readonly key?: SettingKey;
    /** What was expected, or the schema's message; for people. */
    readonly expected: string;
}

/** Returns all faults that cannot be found in a single node. */
export function checkDocument(document: SettingsDocument): DocumentFault[] {
    return [
        ...checkLocations(document),
        ...checkCapacities(document),
        ...checkBoxes(document),
        ...checkServiceLocations(document),
        ...checkLatencies(document),
        ...checkLeases(document),
    ];
}

function checkLocations(document: SettingsDocument): DocumentFault[] {
    const zones = pathsOfKind(document, "zone");
    const names = zones.map(lastName);
    const duplicates = zones.filter((path, index) => names.indexOf(lastName(path)) !== index);
    const emptyRegions = pathsOfKind(document, "region").filter(region =>
        !zones.some(zone => zone.startsWith(`${region}/`))
    );
    return [
        ...duplicates.map(node => ({ node, expected: "expected a name that no other availability zone has" })),
        ...emptyRegions.map(node => ({ node, expected: "expected at least one availability zone" })),
    ];
}

function checkCapacities(document: SettingsDocument): DocumentFault[] {
    return pathsOfKind(document, "region")
        .filter(node => resolveValues(document, node).capacity <= 0)
        .map(node => ({ node, key: "capacity", expected: "expected a capacity here or at the root" }));
}

function checkBoxes(document: SettingsDocument): DocumentFault[] {
    const boxes = configuredBoxes(document);
    if (boxes.length === 0) {
        return [{ node: "/", expected: "expected a box in at least one availability zone" }];
    }
    return pathsOfKind(document, "zone")
        .filter(node => document.nodes[node].boxes?.some(box => boxes.filter(other => other === box).length > 1))
        .map(node => ({ node, key: "boxes", expected: "expected names that no other availability zone lists" }));
}

function checkServiceLocations(document: SettingsDocument): DocumentFault[] {
    const paths = [...pathsOfKind(document, "serviceRegion"), ...pathsOfKind(document, "serviceZone")];
    return paths
        .filter(node => document.nodes[`/regions/${node.split("/").slice(3).join("/")}`] === undefined)
        .map(node => ({ node, expected: "expected a region or availability zone that is listed under regions" }));
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

/** Validates a tree that was read as JSON, such as from its store. On the `Err` side are all faults found. */
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
