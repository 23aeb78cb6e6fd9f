/**
 * The example trees, for sessions and measurements.
 */

import type { NodeValues, SettingsDocument } from "@chalkdale/core";
import { readTree } from "@chalkdale/settings";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { workspace } from "../launch/process.js";

/** The two deployments that ship as examples. */
export type ExampleName = "pedala" | "kodeyard";

/** Reads an example tree; throws when it has faults. */
export function exampleTree(name: ExampleName): SettingsDocument {
    const file = resolve(workspace, `examples/${name}.yaml`);
    const read = readTree(file, readFileSync(file, "utf8"));
    if (read.err) {
        throw new Error(`${file} has ${read.val.length} fault(s)`);
    }
    return read.val;
}

/** Returns a tree with values stated at a node on top of what it states. */
export function withValues(document: SettingsDocument, node: string, values: NodeValues): SettingsDocument {
    return { ...document, nodes: { ...document.nodes, [node]: { ...document.nodes[node], ...values } } };
}
