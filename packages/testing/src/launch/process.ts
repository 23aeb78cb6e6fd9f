/**
 * Starts and ends processes for tests, demo and measurements. The product's
 * own programs start none.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { dirname, resolve } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** A process that was started here. */
export interface StartedProcess {
    readonly name: string;
    readonly id: number;
    /** Resolves with its exit code, or undefined when a signal ended it. */
    readonly exited: Promise<number | undefined>;
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Ends it: asked first, and by force when it does not go in time. */
    readonly stop: () => Promise<void>;
}

/** The root of the workspace. */
export const workspace = resolve(dirname(fileURLToPath(import.meta.url)), "../../../../..");

const stopTimeout = 8000;
const running = new Set<ChildProcess>();

/** Flags of Node for every process started here, from the environment, for profiles. */
const nodeFlags = (process.env.CHALKDALE_NODE_FLAGS ?? "").split(" ").filter(flag => flag !== "");

/** Nothing that was started here outlives this process. */
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/** Starts a program or a script of the workspace; each line it writes to standard error goes to `onLine`. */
export function startProcess(
    name: string,
    script: string,
    args: readonly string[],
    onLine: (line: string) => void,
): StartedProcess {
    const file = resolve(workspace, script);
    const isProgram = script.includes("/bin/") && nodeFlags.length === 0;
    const [command, ...first] = isProgram ? [file] : [process.execPath, ...nodeFlags, file];
    const child: ChildProcess = spawn(command, [...first, ...args], { stdio: ["ignore", "inherit", "pipe"] });
    createInterface({ input: child.stderr! }).on("line", onLine);
    const exited = new Promise<number | undefined>(done => {
        child.once("exit", code => done(code ?? undefined));
    });
    running.add(child);
    child.once("exit", () => running.delete(child));
    const signal = (name: NodeJS.Signals) => void child.kill(name);
    return {
        name,
        id: child.pid ?? 0,
        exited,
        signal,
        async stop() {
            signal("SIGCONT");
            signal("SIGTERM");
            const timer = setTimeout(() => signal("SIGKILL"), stopTimeout);
            await exited;
            clearTimeout(timer);
        },
    };
}
