import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createReturningCallers } from "../src/index.js";

describe("returning callers", () => {
    const at = milliseconds(1000);

    it("have less time left than those who ask for the first time", () => {
        const callers = createReturningCallers();
        expect(callers.isReturning("lookup", 2000, at)).to.equal(false);
        expect(callers.isReturning("lookup", 1700, at)).to.equal(true);
        expect(callers.isReturning("lookup", 1990, at)).to.equal(false);
    });

    it("are told apart by route", () => {
        const callers = createReturningCallers();
        callers.isReturning("lookup", 4000, at);
        expect(callers.isReturning("save", 2000, at)).to.equal(false);
    });

    it("are not known by a caller without a deadline", () => {
        const callers = createReturningCallers();
        callers.isReturning("lookup", 2000, at);
        expect(callers.isReturning("lookup", Number.NaN, at)).to.equal(false);
    });

    it("are known by the deadlines of the last seconds only", () => {
        const callers = createReturningCallers();
        callers.isReturning("lookup", 4000, at);
        callers.isReturning("lookup", 2000, milliseconds(at + 11_000));
        expect(callers.isReturning("lookup", 2000, milliseconds(at + 12_000))).to.equal(true);
        callers.isReturning("lookup", 2000, milliseconds(at + 22_000));
        expect(callers.isReturning("lookup", 2000, milliseconds(at + 23_000))).to.equal(false);
    });
});
