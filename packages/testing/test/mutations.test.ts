import { expect } from "chai";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { mutations } from "../src/promises/mutations.js";
import { promiseTexts } from "../src/promises/promise-texts.js";
import { workspaceRoot } from "../src/workspace-root.js";

describe("the list of mutations", () => {
    for (const { file, find, name, promise, testFiles } of mutations) {
        it(`replaces existing text: ${promise}, ${name}`, () => {
            expect(readFileSync(resolve(workspaceRoot, file), "utf8")).to.include(find);
            testFiles.forEach(testFile => readFileSync(resolve(workspaceRoot, testFile)));
        });
    }

    it("has a mutation for each promise", () => {
        expect([...new Set(mutations.map(({ promise }) => promise))]).to.have.members(Object.keys(promiseTexts));
    });
});
