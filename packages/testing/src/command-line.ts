/**
 * Runs the operators' command line as a process.
 */

import { spawn } from "node:child_process";
import { resolve } from "node:path";
import { workspaceRoot } from "./workspace-root.js";

/** How a run ended. */
export interface CommandLineRun {
    readonly exitCode: number | undefined;
    readonly stdout: string;
    readonly stderr: string;
}

/** Runs the built program with the given arguments until it ends. */
export async function runCommandLine(...args: readonly string[]): Promise<CommandLineRun> {
    const program = resolve(workspaceRoot, "packages/cli/bin/chalkdale.js");
    const child = spawn(process.execPath, [program, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    let output = "";
    let errors = "";
    child.stdout.on("data", chunk => {
        output += String(chunk);
    });
    child.stderr.on("data", chunk => {
        errors += String(chunk);
    });
    const code = await new Promise<number | undefined>(done => child.once("close", ended => done(ended ?? undefined)));
    return { exitCode: code, stdout: output, stderr: errors };
}
