import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createCallerRetryDetector } from "../src/index.js";

describe("returning callers", () => {
    const at = milliseconds(1000);

    it("have less time left than those who ask for the first time", () => {
        const callers = createCallerRetryDetector();
        expect(callers.isCallerRetry("lookup", 2000, at)).to.equal(false);
        expect(callers.isCallerRetry("lookup", 1700, at)).to.equal(true);
        expect(callers.isCallerRetry("lookup", 1990, at)).to.equal(false);
    });

    it("are told apart by route", () => {
        const callers = createCallerRetryDetector();
        callers.isCallerRetry("lookup", 4000, at);
        expect(callers.isCallerRetry("save", 2000, at)).to.equal(false);
    });

    it("are not known by a caller without a deadline", () => {
        const callers = createCallerRetryDetector();
        callers.isCallerRetry("lookup", 2000, at);
        expect(callers.isCallerRetry("lookup", Number.NaN, at)).to.equal(false);
    });

    it("are known by the deadlines of the last seconds only", () => {
        const callers = createCallerRetryDetector();
        callers.isCallerRetry("lookup", 4000, at);
        callers.isCallerRetry("lookup", 2000, milliseconds(at + 11_000));
        expect(callers.isCallerRetry("lookup", 2000, milliseconds(at + 12_000))).to.equal(true);
        callers.isCallerRetry("lookup", 2000, milliseconds(at + 22_000));
        expect(callers.isCallerRetry("lookup", 2000, milliseconds(at + 23_000))).to.equal(false);
    });
});
