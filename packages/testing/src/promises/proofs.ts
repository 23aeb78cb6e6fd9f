/**
 * Runs the tests that prove promises in a process of their own and returns the outcome of each.
 */

import { spawn } from "node:child_process";
import { resolve } from "node:path";
import { workspaceRoot } from "../workspace-root.js";

/** The outcome of one test. */
export interface TestOutcome {
    /** Title of the test, after those of all blocks around it. */
    readonly title: string;
    readonly passed: boolean;
    /** First line of the error message; empty for a test that passed. */
    readonly message: string;
}

interface JsonReport {
    readonly tests: readonly { readonly fullTitle: string; readonly err: { readonly message?: string; }; }[];
    readonly failures: readonly { readonly fullTitle: string; readonly err: { readonly message?: string; }; }[];
}

/** Milliseconds after which a run is killed; without its report, it counts as failed. */
const runTimeout = 120_000;

/** Pattern of the titles of tests that prove a promise. */
const promiseTitlePattern = "\\[P\\d+\\]";

/** Runs the tests that prove promises in the given files, or in those that match a glob pattern. */
export async function runProofs(testFiles: readonly string[]): Promise<TestOutcome[]> {
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
        promiseTitlePattern,
        ...testFiles,
    ];
    const child = spawn(process.execPath, args, {
        cwd: workspaceRoot,
        stdio: ["ignore", "pipe", "ignore"],
        timeout: runTimeout,
    });
    let text = "";
    child.stdout.on("data", chunk => {
        text += String(chunk);
    });
    await new Promise(done => child.once("close", done));
    return parseOutcomes(text);
}

function parseOutcomes(text: string): TestOutcome[] {
    const start = text.indexOf("{\n  \"stats\"");
    if (start < 0) {
        return [{ title: "the test run", passed: false, message: "no report was written" }];
    }
    const { tests, failures } = JSON.parse(text.slice(start)) as JsonReport;
    const failed = new Map(failures.map(test => [test.fullTitle, test.err.message ?? ""]));
    const outcomes = tests.map(({ fullTitle }) => ({
        title: fullTitle,
        passed: !failed.has(fullTitle),
        message: (failed.get(fullTitle) ?? "").split("\n")[0],
    }));
    const hookFailures = failures.filter(({ fullTitle }) => !tests.some(test => test.fullTitle === fullTitle));
    return [
        ...outcomes,
        ...hookFailures.map(({ fullTitle, err }) => ({
            title: fullTitle,
            passed: false,
            message: (err.message ?? "").split("\n")[0],
        })),
    ];
}
