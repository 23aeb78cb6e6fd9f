import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { retryAfterBackoff, retryAfterRefusal } from "../src/index.js";

describe("Retry-After while all servers ask for back-off", () => {
    it("is the end of the first back-off plus a spread, within its bounds", () => {
        expect(retryAfterBackoff(milliseconds(800), 0)).to.equal(800);
        expect(retryAfterBackoff(milliseconds(800), 1)).to.equal(1300);
        expect(retryAfterBackoff(milliseconds(0), 0)).to.equal(50);
        expect(retryAfterBackoff(milliseconds(60_000), 1)).to.equal(2000);
    });
});

describe("Retry-After of a refusal", () => {
    const retryAfter = (refusal: Parameters<typeof retryAfterRefusal>[0], loadPerSlot: number) =>
        retryAfterRefusal(refusal, { loadPerSlot, queuedWork: milliseconds(300) });

    it("is the minimum if servers refused the request although slots are free", () => {
        expect(retryAfter("serversFull", 0.3)).to.equal(50);
        expect(retryAfter("budgetSpent", 0.8)).to.equal(50);
    });

    it("grows with the queues, up to the value for overload", () => {
        expect(retryAfter("serversFull", 1.8)).to.be.closeTo(300, 1);
        expect(retryAfter("budgetSpent", 9)).to.equal(700);
    });

    it("is the table's value for other refusals, and undefined if a retry can't help", () => {
        expect(retryAfter("crowded", 0.3)).to.equal(700);
        expect(retryAfter("leaving", 0.3)).to.equal(150);
        expect(retryAfter("timedOut", 0.3)).to.equal(undefined);
    });
});
