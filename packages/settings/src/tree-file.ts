/**
 * Reads the settings tree from a YAML text, with all faults at once.
 */

import { Err, Ok, type Result } from "@chalkdale/kernel";
import { checkDocument, type DocumentFault } from "./checks.js";
import { createFaultAt, faultsFromSchemaIssues, type SettingsFault, syntaxFaultsOf } from "./faults.js";
import { fileSchema, type SettingsFile } from "./schema.js";
import type { NodePath, SettingsDocument } from "./tree.js";
import type { NodeValues } from "./values.js";
import { parseYaml, type YamlSource } from "./yaml-source.js";

/** Reads a settings tree. On the `Err` side are all faults in the order of the file. */
export function readTree(file: string, text: string): Result<SettingsDocument, readonly SettingsFault[]> {
    const source = parseYaml(file, text);
    if (source.syntaxFaults.length > 0) {
        return Err(syntaxFaultsOf(source));
    }
    const parsed = fileSchema.safeParse(source.value);
    if (!parsed.success) {
        return Err(inOrder(faultsFromSchemaIssues(source, parsed.error.issues)));
    }
    const document = flatten(parsed.data);
    const faults = checkDocument(document).map(fault => locate(source, fault));
    return faults.length > 0 ? Err(inOrder(faults)) : Ok(document);
}

function inOrder(faults: SettingsFault[]): SettingsFault[] {
    return faults.sort((a, b) => a.line - b.line || a.column - b.column);
}

function locate(source: YamlSource, { node, key, expected }: DocumentFault): SettingsFault {
    const steps = pathInFile(node);
    return createFaultAt(source, key === undefined ? steps : [...steps, "settings", key], expected);
}

function pathInFile(node: NodePath): string[] {
    if (node === "/") {
        return [];
    }
    const [, branch, first, second, third] = node.split("/");
    if (branch === "regions") {
        return second === undefined ? [branch, first] : [branch, first, "zones", second];
    }
    const steps = [branch, first];
    if (second !== undefined) {
        steps.push("regions", second);
    }
    if (third !== undefined) {
        steps.push("zones", third);
    }
    return steps;
}

function flatten(file: SettingsFile): SettingsDocument {
    const nodes: Record<NodePath, NodeValues> = { "/": (file.settings ?? {}) as NodeValues };
    addRegions(nodes, "/regions", file.regions);
    for (const [service, branch] of Object.entries(file.services)) {
        nodes[`/services/${service}`] = (branch.settings ?? {}) as NodeValues;
        addRegions(nodes, `/services/${service}`, branch.regions ?? {});
    }
    return { deployment: file.deployment, nodes };
}

type RegionBranches = SettingsFile["regions"];

function addRegions(nodes: Record<NodePath, NodeValues>, prefix: string, regions: RegionBranches): void {
    for (const [region, branch] of Object.entries(regions)) {
        nodes[`${prefix}/${region}`] = (branch.settings ?? {}) as NodeValues;
        for (const [zone, leaf] of Object.entries(branch.zones ?? {})) {
            nodes[`${prefix}/${region}/${zone}`] = (leaf.settings ?? {}) as NodeValues;
        }
    }
}
