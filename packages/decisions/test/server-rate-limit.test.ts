import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServerRateLimit, type LimitUpdate } from "../src/index.js";

describe("server rate limit [P27]", () => {
    const named = (rate: number, at: number): LimitUpdate => ({ kind: "named", rate, at: milliseconds(at) });
    const ended = (at: number): LimitUpdate => ({ kind: "ended", at: milliseconds(at) });

    it("begins, changes and ends with updates of the server", () => {
        const limit = createServerRateLimit();
        expect(limit.onUpdate(ended(1))).to.equal(false);
        expect(limit.rate()).to.equal(undefined);
        expect(limit.onUpdate(named(2, 10))).to.equal(true);
        expect(limit.rate()).to.equal(2);
        expect(limit.onUpdate(named(0, 20))).to.equal(true);
        expect(limit.rate()).to.equal(0);
        expect(limit.onUpdate(ended(30))).to.equal(true);
        expect(limit.rate()).to.equal(undefined);
    });

    it("ignores a late answer to a request that was sent before the limit was stated", () => {
        const limit = createServerRateLimit();
        limit.onUpdate(named(2, 100));
        expect(limit.onUpdate(ended(90))).to.equal(false);
        expect(limit.onUpdate(ended(100))).to.equal(false);
        expect(limit.rate()).to.equal(2);
    });

    it("applies the latest update in any order of arrival", () => {
        const updates = [named(2, 100), named(5, 150), ended(200), named(3, 180)];
        for (const order of [updates, [...updates].reverse(), [updates[2], updates[0], updates[3], updates[1]]]) {
            const limit = createServerRateLimit();
            order.forEach(limit.onUpdate);
            expect(limit.rate()).to.equal(undefined);
        }
    });

    it("reports a changed limit to others, but not a slightly different rate", () => {
        const limit = createServerRateLimit();
        expect(limit.onUpdate(named(2, 1))).to.equal(true);
        expect(limit.onUpdate(named(2.1, 2))).to.equal(false);
        expect(limit.rate()).to.equal(2.1);
        expect(limit.onUpdate(named(1.5, 3))).to.equal(true);
    });
});
