import { expect } from "chai";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { mechanisms } from "../src/promises/mechanisms.js";
import { ruleMechanisms } from "../src/promises/rule-mechanisms.js";

const workspace = resolve(import.meta.dirname, "../../../..");

describe("the list of mechanisms that are taken out", () => {
    for (const { file, find, name, promise, specs } of [...mechanisms, ...ruleMechanisms]) {
        it(`names lines that exist: ${promise}, ${name}`, () => {
            expect(readFileSync(resolve(workspace, file), "utf8")).to.include(find);
            specs.forEach(spec => readFileSync(resolve(workspace, spec)));
        });
    }
});
