/**
 * What every command of the command line is given.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";

/** Flags of the command line. */
interface CommandFlags {
    readonly at?: string;
    readonly platform?: string;
    readonly json: boolean;
    readonly all: boolean;
    readonly dryRun: boolean;
    readonly author?: string;
    readonly peer?: string;
    readonly metricsPort: number;
    readonly samples?: string;
    readonly objective: number;
}

/** The surroundings of a command. */
export interface CommandContext {
    readonly flags: CommandFlags;
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
    readonly signal: AbortSignal;
}

/** One command. */
export interface Command {
    /** Words that name it, such as `settings check`. */
    readonly words: readonly string[];
    readonly usage: string;
    readonly summary: string;
    readonly run: (args: readonly string[], context: CommandContext) => Promise<ExitCode>;
}

/** A failure that is shown in one line, with its exit code. */
export class CommandError extends Error {
    constructor(message: string, readonly exitCode: ExitCode) {
        super(message);
    }
}

/** Shows a failure and returns its exit code. */
export function writeFailure({ writeError }: CommandContext, error: unknown): ExitCode {
    if (error instanceof CommandError) {
        writeError(`chalkdale: ${error.message}`);
        return error.exitCode;
    }
    writeError(`chalkdale: ${error instanceof Error ? error.message : String(error)}`);
    return exitCodes.failure;
}

/** Returns the one argument that a command takes. */
export function requireSingleArgument(args: readonly string[], name: string): string {
    if (args.length !== 1) {
        throw new CommandError(`expected ${name}; see chalkdale --help`, exitCodes.usage);
    }
    return args[0];
}
