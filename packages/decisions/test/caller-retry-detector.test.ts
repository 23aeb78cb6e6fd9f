import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createCallerRetryDetector } from "../src/index.js";

describe("callers' retries", () => {
    const at = milliseconds(1000);

    it("have less time left than first requests", () => {
        const detector = createCallerRetryDetector();
        expect(detector.isCallerRetry("lookup", 2000, at)).to.equal(false);
        expect(detector.isCallerRetry("lookup", 1700, at)).to.equal(true);
        expect(detector.isCallerRetry("lookup", 1990, at)).to.equal(false);
    });

    it("are detected by route", () => {
        const detector = createCallerRetryDetector();
        detector.isCallerRetry("lookup", 4000, at);
        expect(detector.isCallerRetry("save", 2000, at)).to.equal(false);
    });

    it("are not detected without a deadline", () => {
        const detector = createCallerRetryDetector();
        detector.isCallerRetry("lookup", 2000, at);
        expect(detector.isCallerRetry("lookup", Number.NaN, at)).to.equal(false);
    });

    it("are detected by the deadlines of the last seconds only", () => {
        const detector = createCallerRetryDetector();
        detector.isCallerRetry("lookup", 4000, at);
        detector.isCallerRetry("lookup", 2000, milliseconds(at + 11_000));
        expect(detector.isCallerRetry("lookup", 2000, milliseconds(at + 12_000))).to.equal(true);
        detector.isCallerRetry("lookup", 2000, milliseconds(at + 22_000));
        expect(detector.isCallerRetry("lookup", 2000, milliseconds(at + 23_000))).to.equal(false);
    });
});
