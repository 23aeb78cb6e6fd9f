import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { retryAfterBackoff, retryAfterRefusal } from "../src/index.js";

describe("the time to come back after servers' back-off", () => {
    it("is when the first one is back, spread, and never far off", () => {
        expect(retryAfterBackoff(milliseconds(800), 0)).to.equal(800);
        expect(retryAfterBackoff(milliseconds(800), 1)).to.equal(1300);
        expect(retryAfterBackoff(milliseconds(0), 0)).to.equal(50);
        expect(retryAfterBackoff(milliseconds(60_000), 1)).to.equal(2000);
    });
});

describe("the time to come back", () => {
    const after = (refusal: Parameters<typeof retryAfterRefusal>[0], loadPerSlot: number) =>
        retryAfterRefusal(refusal, { loadPerSlot, queuedWork: milliseconds(300) });

    it("is at once where servers turned requests away with slots free", () => {
        expect(after("serversFull", 0.3)).to.equal(50);
        expect(after("budgetSpent", 0.8)).to.equal(50);
    });

    it("grows with the queues, up to the time for overload", () => {
        expect(after("serversFull", 1.8)).to.be.closeTo(300, 1);
        expect(after("budgetSpent", 9)).to.equal(700);
    });

    it("is that of the table for other refusals, and none where coming back can't help", () => {
        expect(after("crowded", 0.3)).to.equal(700);
        expect(after("leaving", 0.3)).to.equal(150);
        expect(after("timedOut", 0.3)).to.equal(undefined);
    });
});
