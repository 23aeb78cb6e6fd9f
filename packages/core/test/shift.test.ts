import { expect } from "chai";
import fc from "fast-check";
import { createShift, createSpread, meanOfPeers, milliseconds, type Shift } from "../src/index.js";
import { propertyOptions } from "./property-options.js";

const tolerance = 1e-9;
const zones = 4;
const regionOfZone = [0, 0, 1, 1];
const warm = [1, 1, 1, 1];

/** Steps of 1 ms to 10 minutes with goals that change at will. */
const stepsArbitrary = fc.array(
    fc.record({
        gap: fc.integer({ min: 0, max: 600_000 }),
        goal: fc.array(fc.nat(100), { minLength: zones, maxLength: zones }),
        warmth: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { minLength: zones, maxLength: zones }),
    }),
    { minLength: 1, maxLength: 60 },
);

function normalise(weights: readonly number[]): number[] {
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return sum === 0 ? weights.map(() => 1 / weights.length) : weights.map(weight => weight / sum);
}

/** Shares after each step with the time credited, a gap counting for a second at most. */
function run(shift: Shift, steps: readonly { gap: number; goal: number[]; warmth: number[]; }[], cap: number) {
    let at = 0;
    let credited = 0;
    const trace = [{ credited, shares: Array.from(shift.shares) }];
    for (const { gap, goal, warmth } of steps) {
        at += gap;
        credited += Math.min(gap, 1000);
        shift.advance({ at: milliseconds(at), goal: normalise(goal), capPerMinute: cap, warmth, regionOfZone });
        trace.push({ credited, shares: Array.from(shift.shares) });
    }
    return trace;
}

describe("shift [P1]", () => {
    describe("with any goals, gaps and warmth", () => {
        it("raises no zone and no region by more than the cap in any window", () => {
            fc.assert(
                fc.property(stepsArbitrary, fc.double({ min: 0.01, max: 5, noNaN: true }), (steps, cap) => {
                    const trace = run(createShift([1, 1, 1, 1], milliseconds(0)), steps, cap);
                    for (let from = 0; from < trace.length; from++) {
                        for (let to = from + 1; to < trace.length; to++) {
                            const allowed = cap * (trace[to].credited - trace[from].credited) / 60_000 + tolerance;
                            const gains = trace[to].shares.map((share, zone) => share - trace[from].shares[zone]);
                            gains.forEach(gain => expect(gain).to.be.at.most(allowed));
                            expect(gains[0] + gains[1]).to.be.at.most(allowed);
                            expect(gains[2] + gains[3]).to.be.at.most(allowed);
                        }
                    }
                }),
                propertyOptions,
            );
        });

        it("keeps shares that sum to 1 and are never negative", () => {
            fc.assert(
                fc.property(stepsArbitrary, steps => {
                    for (const { shares } of run(createShift([3, 1, 0, 0], milliseconds(0)), steps, 1)) {
                        expect(shares.reduce((sum, share) => sum + share, 0)).to.be.closeTo(1, 1e-6);
                        shares.forEach(share => expect(share).to.be.at.least(-tolerance));
                    }
                }),
                propertyOptions,
            );
        });
    });

    describe("after a pause of ten minutes", () => {
        it("moves no more than in one second", () => {
            const shift = createShift([1, 0, 0, 0], milliseconds(0));
            const step = { goal: [0, 0, 1, 0], capPerMinute: 0.6, warmth: warm, regionOfZone };
            shift.advance({ ...step, at: milliseconds(600_000) });
            expect(shift.shares[2]).to.be.closeTo(0.01, tolerance);
        });
    });

    describe("towards a goal that stands still", () => {
        it("gets there", () => {
            const shift = createShift([1, 0, 0, 0], milliseconds(0));
            for (let at = 250; at <= 150_000; at += 250) {
                const step = { goal: [0, 0, 0.5, 0.5], capPerMinute: 0.6, warmth: warm, regionOfZone };
                shift.advance({ ...step, at: milliseconds(at) });
            }
            expect(shift.shares[2]).to.be.closeTo(0.5, 1e-6);
            expect(shift.shares[0]).to.be.closeTo(0, 1e-6);
        });

        it("fills a cold zone at half the speed", () => {
            const shift = createShift([1, 0, 0, 0], milliseconds(0));
            const step = { goal: [0, 0, 1, 0], capPerMinute: 6, warmth: [1, 1, 0, 1], regionOfZone };
            shift.advance({ ...step, at: milliseconds(1000) });
            expect(shift.shares[2]).to.be.closeTo(0.05, tolerance);
        });
    });
});

describe("shares of peers [P1]", () => {
    it("give a joining box the mean by traffic", () => {
        const mean = meanOfPeers([{ shares: [1, 0], rate: 30 }, { shares: [0, 1], rate: 10 }])!;
        expect(mean[0]).to.be.closeTo(0.75, 1e-6);
    });

    it("give nothing without peers", () => {
        expect(meanOfPeers([])).to.equal(undefined);
    });
});

describe("spread [P1]", () => {
    it("keeps each place's count near the integral of its share, while shares change", () => {
        fc.assert(
            fc.property(
                fc.array(fc.array(fc.nat(20), { minLength: 3, maxLength: 3 }), { minLength: 1, maxLength: 200 }),
                weights => {
                    const spread = createSpread(3);
                    const wanted = [0, 0, 0];
                    const counts = [0, 0, 0];
                    for (const weight of weights) {
                        const shares = Float64Array.from(normalise(weight));
                        shares.forEach((share, place) => {
                            wanted[place] += share;
                        });
                        counts[spread.next(shares)]++;
                        counts.forEach((count, place) => expect(count - wanted[place]).to.be.at.most(2));
                    }
                },
            ),
            propertyOptions,
        );
    });

    it("never picks a place without a share", () => {
        const spread = createSpread(2);
        for (let count = 0; count < 50; count++) {
            expect(spread.next(Float64Array.of(0, 1))).to.equal(1);
        }
    });
});
