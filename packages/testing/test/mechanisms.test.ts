import { expect } from "chai";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { mechanisms } from "../src/promises/mechanisms.js";
import { promiseTexts } from "../src/promises/promise-texts.js";
import { workspace } from "../src/workspace.js";

describe("the list of mechanisms that are taken out", () => {
    for (const { file, find, name, promise, specs } of mechanisms) {
        it(`names lines that exist: ${promise}, ${name}`, () => {
            expect(readFileSync(resolve(workspace, file), "utf8")).to.include(find);
            specs.forEach(spec => readFileSync(resolve(workspace, spec)));
        });
    }

    it("has a mechanism for each promise", () => {
        expect([...new Set(mechanisms.map(({ promise }) => promise))]).to.have.members(Object.keys(promiseTexts));
    });
});
