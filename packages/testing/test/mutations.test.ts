import { expect } from "chai";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { mutations } from "../src/promises/mutations.js";
import { promiseTexts } from "../src/promises/promise-texts.js";
import { workspaceRoot } from "../src/workspace-root.js";

describe("the list of mechanisms that are taken out", () => {
    for (const { file, find, name, promise, testFiles: specs } of mutations) {
        it(`names lines that exist: ${promise}, ${name}`, () => {
            expect(readFileSync(resolve(workspaceRoot, file), "utf8")).to.include(find);
            specs.forEach(spec => readFileSync(resolve(workspaceRoot, spec)));
        });
    }

    it("has a mechanism for each promise", () => {
        expect([...new Set(mutations.map(({ promise }) => promise))]).to.have.members(Object.keys(promiseTexts));
    });
});
