/**
 * The interface of commands, the context in which they run, and their errors.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";

/** Parsed flags of the command line; `main` documents each in the help text. */
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

/** The flags and outputs of a command, and the signal that aborts it. */
export interface CommandContext {
    readonly flags: CommandFlags;
    /** Writes text and a line end to standard output. */
    readonly write: (text: string) => void;
    /** Writes text and a line end to standard error. */
    readonly writeError: (text: string) => void;
    readonly signal: AbortSignal;
}

/** One command. */
export interface Command {
    /** Words that select the command, such as `settings` and `check`. */
    readonly words: readonly string[];
    readonly usage: string;
    readonly summary: string;
    /** Runs the command with the arguments behind its words. Throws a `CommandError` for an expected failure. */
    readonly run: (args: readonly string[], context: CommandContext) => Promise<ExitCode>;
}

/** A failure that is shown to the operator by its message only, with the exit code. */
export class CommandError extends Error {
    constructor(message: string, readonly exitCode: ExitCode) {
        super(message);
    }
}

/** Writes a failure to standard error and returns its exit code. */
export function writeFailure({ writeError }: CommandContext, error: unknown): ExitCode {
    if (error instanceof CommandError) {
        writeError(`chalkdale: ${error.message}`);
        return error.exitCode;
    }
    writeError(`chalkdale: ${error instanceof Error ? error.message : String(error)}`);
    return exitCodes.failure;
}

/** Returns a command's only argument. Throws a `CommandError` unless there is exactly one. */
export function requireSingleArgument(args: readonly string[], name: string): string {
    if (args.length !== 1) {
        throw new CommandError(`expected ${name}; see chalkdale --help`, exitCodes.usage);
    }
    return args[0];
}
