/**
 * Runs tests in a process of their own and returns how each ended.
 */

import { spawn } from "node:child_process";
import { resolve } from "node:path";
import { workspaceRoot } from "../workspace-root.js";

/** How one test ended. */
export interface TestOutcome {
    /** Titles of the test and of all blocks around it. */
    readonly title: string;
    readonly passed: boolean;
    /** First line of what was wrong. */
    readonly message: string;
}

interface JsonReport {
    readonly tests: readonly { readonly fullTitle: string; readonly err: { readonly message?: string; }; }[];
    readonly failures: readonly { readonly fullTitle: string; readonly err: { readonly message?: string; }; }[];
}

/** Longest time of one run in milliseconds; a run that hangs counts as failed. */
const longestRun = 120_000;

/** Titles of tests that prove a promise. */
const promiseTitles = "\\[P\\d+\\]";

/** Runs the tests of some files that prove a promise. */
export async function runProofs(specs: readonly string[]): Promise<TestOutcome[]> {
    const mocha = resolve(workspaceRoot, "node_modules/mocha/bin/mocha.js");
    const args = [
        mocha,
        "--no-config",
        "--exit",
        "--reporter",
        "json",
        "--timeout",
        "60000",
        "--grep",
        promiseTitles,
        ...specs,
    ];
    const child = spawn(process.execPath, args, {
        cwd: workspaceRoot,
        stdio: ["ignore", "pipe", "ignore"],
        timeout: longestRun,
    });
    let text = "";
    child.stdout.on("data", chunk => {
        text += String(chunk);
    });
    await new Promise(done => child.once("close", done));
    return outcomesOf(text);
}

function outcomesOf(text: string): TestOutcome[] {
    const start = text.indexOf("{\n  \"stats\"");
    if (start < 0) {
        return [{ title: "the run", passed: false, message: "it gave no report" }];
    }
    const { tests, failures } = JSON.parse(text.slice(start)) as JsonReport;
    const failed = new Map(failures.map(test => [test.fullTitle, test.err.message ?? ""]));
    const outcomes = tests.map(({ fullTitle }) => ({
        title: fullTitle,
        passed: !failed.has(fullTitle),
        message: (failed.get(fullTitle) ?? "").split("\n")[0],
    }));
    const hooks = failures.filter(({ fullTitle }) => !tests.some(test => test.fullTitle === fullTitle));
    return [
        ...outcomes,
        ...hooks.map(({ fullTitle, err }) => ({
            title: fullTitle,
            passed: false,
            message: (err.message ?? "").split("\n")[0],
        })),
    ];
}
