/**
 * Commands on settings files: `settings check` and `settings show`.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import {
    explainValues,
    formatFault,
    kindOfPath,
    readTree,
    type ResolvedValue,
    type SettingsDocument,
} from "@chalkdale/settings";
import { readFile } from "node:fs/promises";
import { type Command, type CommandContext, CommandError, requireSingleArgument } from "./command.js";
import { formatTable } from "./table.js";

/** Reads a settings file; shows all its faults and fails when there are any. */
export async function readTreeFile(file: string, context: CommandContext): Promise<SettingsDocument> {
    const text = await readFile(file, "utf8").catch((error: Error) => {
        throw new CommandError(error.message, exitCodes.settings);
    });
    const read = readTree(file, text);
    if (read.ok) {
        return read.val;
    }
    if (context.flags.json) {
        context.write(JSON.stringify({ faults: read.val }));
    }
    else {
        read.val.forEach(fault => context.writeError(formatFault(fault)));
    }
    throw new CommandError(`${file}: ${read.val.length} fault(s); mend the places above`, exitCodes.settings);
}

/** `settings check FILE`. */
export const settingsCheck: Command = {
    words: ["settings", "check"],
    usage: "settings check FILE",
    summary: "check a settings file",
    async run(args, context): Promise<ExitCode> {
        const file = requireSingleArgument(args, "FILE");
        const document = await readTreeFile(file, context);
        const nodes = Object.keys(document.nodes).length;
        context.write(
            context.flags.json ? JSON.stringify({ faults: [], nodes }) : `${file}: ${nodes} nodes, no faults`,
        );
        return exitCodes.success;
    },
};

/** `settings show FILE --at PATH`. */
export const settingsShow: Command = {
    words: ["settings", "show"],
    usage: "settings show FILE --at PATH",
    summary: "resolved values and the nodes they came from",
    async run(args, context): Promise<ExitCode> {
        const document = await readTreeFile(requireSingleArgument(args, "FILE"), context);
        const path = context.flags.at ?? "/";
        if (kindOfPath(path) === undefined) {
            throw new CommandError(`${path} is not the path of a node, such as /regions/ro-nord`, exitCodes.usage);
        }
        if (document.nodes[path] === undefined && !isImplied(document, path)) {
            throw new CommandError(`there is no node ${path}; see the names with settings check`, exitCodes.usage);
        }
        showValues(path, explainValues(document, path), context);
        return exitCodes.success;
    },
};

/** A service's places that no node states exist all the same: they inherit. */
function isImplied(document: SettingsDocument, path: string): boolean {
    const [, branch, service, ...place] = path.split("/");
    return branch === "services"
        && document.nodes[`/services/${service}`] !== undefined
        && document.nodes[`/regions/${place.join("/")}`] !== undefined;
}

/** Shows resolved values as a table or as JSON. */
function showValues(path: string, values: readonly ResolvedValue[], context: CommandContext): void {
    if (context.flags.json) {
        context.write(JSON.stringify({ path, values }));
        return;
    }
    const rows = values.map(({ key, value, from }) => [key, JSON.stringify(value), from]);
    context.write(formatTable(["setting", "value", "from"], rows));
}
