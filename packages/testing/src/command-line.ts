/**
 * Runs the operators' command-line program in a process of its own, for tests.
 */

import { spawn } from "node:child_process";
import { resolve } from "node:path";
import { workspaceRoot } from "./workspace-root.js";

/** Result of a run. */
export interface CommandLineRun {
    /** Undefined if a signal ended the process. */
    readonly exitCode: number | undefined;
    readonly stdout: string;
    readonly stderr: string;
}

/** Runs the built program with the given arguments; resolves when it has exited. */
export async function runCommandLine(...args: readonly string[]): Promise<CommandLineRun> {
    const program = resolve(workspaceRoot, "packages/cli/bin/chalkdale.js");
    const child = spawn(process.execPath, [program, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", chunk => {
        stdout += String(chunk);
    });
    child.stderr.on("data", chunk => {
        stderr += String(chunk);
    });
    const exitCode = await new Promise<number | undefined>(resolveExit =>
        child.once("close", code => resolveExit(code ?? undefined))
    );
    return { exitCode, stdout, stderr };
}
