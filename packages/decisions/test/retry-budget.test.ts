import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createRetryBudget, createSlidingCount } from "../src/index.js";

describe("retry budget [P11]", () => {
    it("keeps all boxes together within ratio and allowance in every window", () => {
        const boxCount = 9;
        const boxes = Array.from(
            { length: boxCount },
            () =>
                createRetryBudget({
                    ratio: 0.2,
                    window: milliseconds(10_000),
                    allowance: 58,
                    boxCount: () => boxCount,
                }),
        );
        const taken: number[] = [];
        for (let time = 0; time < 40_000; time += 10) {
            const at = milliseconds(time);
            const box = boxes[time / 10 % boxCount];
            box.onRequest(at);
            if (box.tryTake(at)) {
                taken.push(time);
            }
        }
        for (let end = 10_000; end <= 40_000; end += 500) {
            const inWindow = taken.filter(time => time > end - 10_000 && time <= end).length;
            expect(inWindow).to.be.at.most(1000 * 0.2 + 58);
        }
        expect(taken.length).to.be.greaterThan(100);
    });
});

describe("sliding count", () => {
    it("forgets what is older than the window", () => {
        const count = createSlidingCount(milliseconds(1000));
        count.add(milliseconds(0));
        count.add(milliseconds(900));
        expect(count.total(milliseconds(950))).to.equal(2);
        expect(count.total(milliseconds(1500))).to.equal(1);
        expect(count.total(milliseconds(60_000))).to.equal(0);
    });
});
