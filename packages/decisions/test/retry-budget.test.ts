import { createSeededRandom, customerId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { combinedPriority, createRetryBudget, createSlidingWindowCounter } from "../src/index.js";
import { createRoute } from "./choice-setup.js";

describe("retry budget [P11]", () => {
    it("keeps the retries of all boxes together within ratio and allowance in every window", () => {
        const boxCount = 9;
        const boxes = Array.from(
            { length: boxCount },
            () =>
                createRetryBudget({
                    ratio: 0.2,
                    window: milliseconds(10_000),
                    allowance: 58,
                    boxCount: () => boxCount,
                    startedAt: milliseconds(0),
                    random: () => 0.5,
                }),
        );
        const retryTimes: number[] = [];
        for (let time = 0; time < 40_000; time += 10) {
            const at = milliseconds(time);
            const box = boxes[time / 10 % boxCount];
            box.onRequest(at);
            if (box.tryConsume(at, 0)) {
                retryTimes.push(time);
            }
        }
        for (let end = 10_000; end <= 40_000; end += 500) {
            const inWindow = retryTimes.filter(time => time > end - 10_000 && time <= end).length;
            expect(inWindow).to.be.at.most(1000 * 0.2 + 58);
        }
        expect(retryTimes.length).to.be.greaterThan(100);
    });
});

describe("retry budget while servers refuse more requests than it can retry", () => {
    /**
     * Simulates 100 requests per second for 12 s, of which 57 % are urgent and `refusedFraction` are refused; returns
     * the retries granted to each priority.
     */
    const countRetries = (refusedFraction: number) => {
        const budget = createRetryBudget({
            ratio: 0.2,
            window: milliseconds(10_000),
            allowance: 10,
            boxCount: () => 1,
            startedAt: milliseconds(0),
            random: () => 0.5,
        });
        const random = createSeededRandom(7);
        const retries = { urgent: 0, other: 0 };
        for (let time = 0; time < 12_000; time += 10) {
            const at = milliseconds(time);
            budget.onRequest(at);
            const isUrgent = random() < 0.57;
            if (random() < refusedFraction && budget.tryConsume(at, isUrgent ? 1 : 2)) {
                retries[isUrgent ? "urgent" : "other"] += 1;
            }
        }
        return retries;
    };

    it("goes to the urgent requests", () => {
        const { other, urgent } = countRetries(0.55);
        expect(other).to.be.lessThan(urgent / 4);
    });

    it("serves requests of every priority while it suffices", () => {
        const { other, urgent } = countRetries(0.1);
        expect(other).to.be.greaterThan(urgent / 2);
    });
});

describe("combined priority of a request", () => {
    const customer = (priority: number | undefined) => ({
        id: customerId("c"),
        keys: [],
        priority,
        quota: undefined,
        homeRegions: [],
    });
    const route = (priority: number) => createRoute({ priority });

    it("is ordered by the customer's priority, then by the route's", () => {
        const inOrder = [
            combinedPriority(route(2), customer(0)),
            combinedPriority(route(1), undefined),
            combinedPriority(route(1), customer(1)),
            combinedPriority(route(2), customer(1)),
            combinedPriority(route(2), customer(undefined)),
            combinedPriority(route(0), customer(3)),
        ];
        expect([...inOrder].sort((a, b) => a - b)).to.deep.equal(inOrder);
    });
});

describe("sliding window counter", () => {
    it("drops events older than the window", () => {
        const counter = createSlidingWindowCounter(milliseconds(1000));
        counter.add(milliseconds(0));
        counter.add(milliseconds(900));
        expect(counter.total(milliseconds(950))).to.equal(2);
        expect(counter.total(milliseconds(1500))).to.equal(1);
        expect(counter.total(milliseconds(60_000))).to.equal(0);
    });
});
