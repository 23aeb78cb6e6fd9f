/**
 * Commands on the tree in its store: `settings apply | diff | edit | history`.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import { changesBetween, kindOfPath, nodeExistenceKey, type ValueChange } from "@chalkdale/settings";
import { type Command, type CommandContext, CommandError, requireSingleArgument } from "./command.js";
import { readTreeFile } from "./settings-file-commands.js";
import { emptyTree, formatValue, readStoredSettings, requireStoredSettings, writeChanges } from "./stored-settings.js";
import { formatTable } from "./table.js";

/** `settings diff FILE`: what applying the file would change. */
export const settingsDiff: Command = {
    words: ["settings", "diff"],
    usage: "settings diff FILE",
    summary: "what a file would change at the platform",
    async run(args, context): Promise<ExitCode> {
        const { changes } = await compare(requireSingleArgument(args, "FILE"), context);
        showChanges(changes, context);
        return exitCodes.success;
    },
};

/** `settings apply FILE`: makes the tree in its store that of the file. */
export const settingsApply: Command = {
    words: ["settings", "apply"],
    usage: "settings apply FILE [--dry-run]",
    summary: "put a file in force",
    async run(args, context): Promise<ExitCode> {
        const { changes, deployment } = await compare(requireSingleArgument(args, "FILE"), context);
        showChanges(changes, context);
        if (context.flags.dryRun || changes.length === 0) {
            return exitCodes.success;
        }
        tellVersion(await writeChanges(changes, deployment, context), context);
        return exitCodes.success;
    },
};

/** `settings edit --at PATH KEY=VALUE ...`: changes single values; an empty value takes one away. */
export const settingsEdit: Command = {
    words: ["settings", "edit"],
    usage: "settings edit KEY=VALUE ... --at PATH",
    summary: "change single values of one node",
    async run(args, context): Promise<ExitCode> {
        const node = context.flags.at ?? "";
        if (kindOfPath(node) === undefined || args.length === 0) {
            throw new CommandError("expected --at PATH and at least one KEY=VALUE", exitCodes.usage);
        }
        const { document } = await requireStoredSettings(context);
        const stated = document.nodes[node] as Record<string, unknown> | undefined;
        const values = args.map(text => parseAssignment(text));
        const changes: ValueChange[] = values.map(({ key, value }) => ({ node, key, from: stated?.[key], to: value }));
        const added = stated === undefined ? [{ node, key: nodeExistenceKey, from: false, to: true }] : [];
        const all = [...added, ...changes];
        showChanges(all, context);
        if (!context.flags.dryRun) {
            tellVersion(await writeChanges(all, document.deployment, context), context);
        }
        return exitCodes.success;
    },
};

/** `settings history`: the latest edits, newest first. */
export const settingsHistory: Command = {
    words: ["settings", "history"],
    usage: "settings history",
    summary: "who changed what, newest first",
    async run(_, context): Promise<ExitCode> {
        const { edits, version } = await requireStoredSettings(context);
        const newestFirst = [...edits].reverse();
        if (context.flags.json) {
            context.write(JSON.stringify({ version, edits: newestFirst }));
            return exitCodes.success;
        }
        const rows = newestFirst.flatMap(({ at, author, changes }) =>
            changes.map(({ node, key, from, to }) => [at, author, node, key, formatValue(from), formatValue(to)])
        );
        context.write(`version ${version}`);
        context.write(formatTable(["when", "who", "node", "setting", "from", "to"], rows));
        return exitCodes.success;
    },
};

async function compare(file: string, context: CommandContext) {
    const wanted = await readTreeFile(file, context);
    const stored = await readStoredSettings(context);
    const current = stored?.document ?? emptyTree(wanted.deployment);
    if (current.deployment !== wanted.deployment) {
        throw new CommandError(
            `the platform holds ${current.deployment}, the file is for ${wanted.deployment}`,
            exitCodes.settings,
        );
    }
    return { changes: changesBetween(current, wanted), deployment: wanted.deployment };
}

function showChanges(changes: readonly ValueChange[], context: CommandContext): void {
    if (context.flags.json) {
        context.write(JSON.stringify({ changes }));
        return;
    }
    if (changes.length === 0) {
        context.write("no changes");
        return;
    }
    const rows = changes.map((
        { node, key, from, to },
    ) => [node, key === nodeExistenceKey ? "(node)" : key, formatValue(from), formatValue(to)]);
    context.write(formatTable(["node", "setting", "from", "to"], rows));
}

function tellVersion(version: number, context: CommandContext): void {
    context.write(context.flags.json ? JSON.stringify({ version }) : `in force as version ${version}`);
}

function parseAssignment(text: string): { readonly key: string; readonly value: unknown; } {
    const split = text.indexOf("=");
    if (split <= 0) {
        throw new CommandError(`expected KEY=VALUE, not ${text}`, exitCodes.usage);
    }
    const key = text.slice(0, split);
    const value = text.slice(split + 1);
    if (value === "") {
        return { key, value: undefined };
    }
    try {
        return { key, value: JSON.parse(value) as unknown };
    }
    catch {
        // What is no JSON is taken as a text, so that names need no quotes.
        return { key, value };
    }
}
