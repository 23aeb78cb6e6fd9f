import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServerRateLimit, type LimitUpdate } from "../src/index.js";

describe("the limit that a server names [P27]", () => {
    const named = (rate: number, at: number): LimitUpdate => ({ kind: "named", rate, at: milliseconds(at) });
    const ended = (at: number): LimitUpdate => ({ kind: "ended", at: milliseconds(at) });

    it("begins, changes and ends by the server's word", () => {
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

    it("holds on when an answer comes late whose request was sent before it was named", () => {
        const limit = createServerRateLimit();
        limit.onUpdate(named(2, 100));
        expect(limit.onUpdate(ended(90))).to.equal(false);
        expect(limit.onUpdate(ended(100))).to.equal(false);
        expect(limit.rate()).to.equal(2);
    });

    it("goes by the newest word whatever the order", () => {
        const words = [named(2, 100), named(5, 150), ended(200), named(3, 180)];
        for (const order of [words, [...words].reverse(), [words[2], words[0], words[3], words[1]]]) {
            const limit = createServerRateLimit();
            order.forEach(limit.onUpdate);
            expect(limit.rate()).to.equal(undefined);
        }
    });

    it("tells others of another limit, not of each answer that names it a little differently", () => {
        const limit = createServerRateLimit();
        expect(limit.onUpdate(named(2, 1))).to.equal(true);
        expect(limit.onUpdate(named(2.1, 2))).to.equal(false);
        expect(limit.rate()).to.equal(2.1);
        expect(limit.onUpdate(named(1.5, 3))).to.equal(true);
    });
});
