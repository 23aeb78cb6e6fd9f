/**
 * `npm run promises`: runs the proofs of what always holds and prints a row
 * for each promise. With `-- --undo` it also takes each mechanism out of the
 * compiled code in turn, and expects the proofs to fail without it.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { workspaceRoot } from "../workspace-root.js";
import { mutations } from "./mutations.js";
import { promiseTexts } from "./promise-texts.js";
import { runProofs } from "./proofs.js";

/** A mechanism that is out when this process is ended is put back on exit. */
process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));

const write = (line: string) => process.stdout.write(`${line}\n`);
const unproved = await proveAll();
const survived = process.argv.includes("--undo") ? await undoAll() : 0;
process.exit(unproved + survived === 0 ? 0 : 1);

/** Runs all proofs once; returns the number of promises that are not proved. */
async function proveAll(): Promise<number> {
    const outcome = await runProofs(["packages/*/dist/test/**/*.test.js", "platform/dist/test/**/*.test.js"]);
    let broken = 0;
    for (const [tag, text] of Object.entries(promiseTexts)) {
        const own = outcome.filter(test => test.title.includes(`[${tag}]`));
        const passed = own.filter(test => test.passed).length;
        const proved = own.length > 0 && passed === own.length;
        broken += proved ? 0 : 1;
        write(`${tag} ${proved ? "proved    " : "NOT PROVED"} ${passed}/${own.length} tests  ${text}`);
        own.filter(test => !test.passed).forEach(test => write(`   failed: ${test.title}`));
    }
    return broken;
}

/** Takes each mechanism out; returns how many were not missed by any proof. */
async function undoAll(): Promise<number> {
    write("");
    let survivors = 0;
    for (const { promise, name, file, find, replace, testFiles: specs } of mutations) {
        const path = resolve(workspaceRoot, file);
        const original = readFileSync(path, "utf8");
        if (!original.includes(find)) {
            write(`${promise} STALE     ${name}: its line is not in ${file}`);
            survivors++;
            continue;
        }
        writeFileSync(path, original.replace(find, replace));
        const putBack = () => writeFileSync(path, original);
        process.once("exit", putBack);
        try {
            const outcome = await runProofs(specs);
            const missed = outcome.filter(test => !test.passed);
            survivors += missed.length > 0 ? 0 : 1;
            const verdict = missed.length > 0 ? "missed   " : "NOT MISSED";
            write(`${promise} ${verdict} without ${name}: ${missed.length} of ${outcome.length} tests fail`);
            missed.slice(0, 1).forEach(test => write(`   ${test.title}: ${test.message}`));
        }
        finally {
            putBack();
            process.off("exit", putBack);
        }
    }
    return survivors;
}
