/**
 * `npm run promises`: runs the proofs of the promises and prints a row for each promise. With `-- --undo`, it also
 * applies each mutation to the compiled code in turn, and expects proofs to fail.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { workspaceRoot } from "../workspace-root.js";
import { mutations } from "./mutations.js";
import { promiseTexts } from "./promise-texts.js";
import { runProofs } from "./proofs.js";

// On exit, the handler that is set for each mutation restores the compiled file.
process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));

const write = (line: string) => process.stdout.write(`${line}\n`);
const unproved = await runAllProofs();
const survived = process.argv.includes("--undo") ? await applyMutations() : 0;
process.exit(unproved + survived === 0 ? 0 : 1);

/** Runs all proofs once; returns the number of promises that are not proved. */
async function runAllProofs(): Promise<number> {
    const outcomes = await runProofs(["packages/*/dist/test/**/*.test.js", "platform/dist/test/**/*.test.js"]);
    let unprovedCount = 0;
    for (const [tag, text] of Object.entries(promiseTexts)) {
        const proofs = outcomes.filter(test => test.title.includes(`[${tag}]`));
        const passed = proofs.filter(test => test.passed).length;
        const proved = proofs.length > 0 && passed === proofs.length;
        unprovedCount += proved ? 0 : 1;
        write(`${tag} ${proved ? "proved    " : "NOT PROVED"} ${passed}/${proofs.length} tests  ${text}`);
        proofs.filter(test => !test.passed).forEach(test => write(`   failed: ${test.title}`));
    }
    return unprovedCount;
}

/** Applies each mutation in turn; returns how many survived: no proof failed, or the file lacks the text to replace. */
async function applyMutations(): Promise<number> {
    write("");
    let survivors = 0;
    for (const { promise, name, file, find, replace, testFiles } of mutations) {
        const path = resolve(workspaceRoot, file);
        const original = readFileSync(path, "utf8");
        if (!original.includes(find)) {
            write(`${promise} STALE      ${name}: the text to replace is not in ${file}`);
            survivors++;
            continue;
        }
        writeFileSync(path, original.replace(find, replace));
        const restoreFile = () => writeFileSync(path, original);
        process.once("exit", restoreFile);
        try {
            const testOutcomes = await runProofs(testFiles);
            const failed = testOutcomes.filter(test => !test.passed);
            survivors += failed.length > 0 ? 0 : 1;
            const verdict = failed.length > 0 ? "detected  " : "UNDETECTED";
            write(`${promise} ${verdict} without ${name}: ${failed.length} of ${testOutcomes.length} tests fail`);
            failed.slice(0, 1).forEach(test => write(`   ${test.title}: ${test.message}`));
        }
        finally {
            restoreFile();
            process.off("exit", restoreFile);
        }
    }
    return survivors;
}
