/**
 * Golden files: what a session put out, compared with a committed file.
 *
 * `npm run golden:write` rewrites them; the commit then explains each line
 * that changed.
 */

import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { workspaceRoot } from "../workspace-root.js";

const folder = resolve(workspaceRoot, "packages/testing/test/golden");

/** Throws when the lines differ from the golden file of a name, naming the first line that does. */
export function compareWithGolden(name: string, lines: readonly string[]): void {
    const file = resolve(folder, `${name}.txt`);
    const text = `${lines.join("\n")}\n`;
    if (process.env.CHALKDALE_GOLDEN === "write") {
        mkdirSync(dirname(file), { recursive: true });
        writeFileSync(file, text);
        return;
    }
    if (!existsSync(file)) {
        throw new Error(`${file} is missing; npm run golden:write creates it`);
    }
    const expected = readFileSync(file, "utf8").split("\n");
    const actual = text.split("\n");
    const length = Math.max(expected.length, actual.length);
    for (let index = 0; index < length; index++) {
        if (expected[index] !== actual[index]) {
            throw new Error(
                `${name}.txt:${index + 1}\n  expected: ${expected[index] ?? "(end)"}\n  actual:   ${
                    actual[index] ?? "(end)"
                }`,
            );
        }
    }
}
