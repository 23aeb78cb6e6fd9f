import { backendServerId, boxId, milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createRetryBudget, createSlidingCount, createSlowStart, createWeightedSplit } from "../src/index.js";

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

describe("slow start [P14]", () => {
    it("keeps all boxes together within the rate and one request for each sender", () => {
        const names = Array.from({ length: 80 }, (_, index) => boxId(`box-${index}`));
        const admissions = names.map(self =>
            createSlowStart({ self, server: backendServerId("s-1"), boxes: () => names, rate: () => 14 })
        );
        const sent: number[] = [];
        for (let time = 0; time < 3000; time += 5) {
            const at = milliseconds(time);
            for (const admission of admissions) {
                if (admission.allows(at)) {
                    admission.onSent(at);
                    sent.push(time);
                }
            }
        }
        for (let start = 0; start < 2000; start += 50) {
            const inSecond = sent.filter(time => time >= start && time < start + 1000).length;
            expect(inSecond).to.be.within(8, 14 + 5);
        }
    });

    it("lets no box send that is not among the senders to choose from", () => {
        const senders = ["a", "b", "c"].map(name => boxId(name));
        const others = Array.from({ length: 20 }, (_, index) => boxId(`box-${index}`));
        const admissions = others.map(self =>
            createSlowStart({ self, server: backendServerId("s-1"), boxes: () => senders, rate: () => 14 })
        );
        expect(admissions.filter(admission => admission.allows(milliseconds(0)))).to.deep.equal([]);
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

describe("weighted split", () => {
    it("gives each destination its share to within one request [P20]", () => {
        const next = createWeightedSplit([
            { service: serviceId("a"), weight: 90 },
            { service: serviceId("b"), weight: 10 },
        ]);
        const picked = Array.from({ length: 1000 }, next);
        expect(picked.filter(service => service === "b").length).to.equal(100);
        for (let start = 0; start + 20 <= 1000; start += 20) {
            expect(picked.slice(start, start + 20).filter(service => service === "b").length).to.be.within(1, 3);
        }
    });
});
