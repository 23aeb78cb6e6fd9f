/**
 * Guards against retries of all boxes together beyond their budget, whatever the boxes know of each other and however
 * often they start, and against a budget that is left unused.
 */

import { expect } from "chai";
import { type RetryFleetOptions, runRetryFleet, unsteadyRate } from "./emulated-retries.js";

describe("the retry budgets of all boxes together [P11]", () => {
    const sizes = [
        { boxes: 9, requestsPerSecond: 120, allowance: 58 },
        { boxes: 12, requestsPerSecond: 65, allowance: 64 },
        { boxes: 195, requestsPerSecond: 400, allowance: 430 },
        { boxes: 740, requestsPerSecond: 600, allowance: 58 },
    ];
    const whole = { duration: 34_000, failingFrom: 12_000 };
    type State = Pick<RetryFleetOptions, "apart" | "kills" | "recordedFraction" | "storeAway">;
    const killTimes = [12_500, 14_500, 16_500, 18_500, 20_500, 22_500];
    const states: readonly [name: string, state: State][] = [
        ["in calm", {}],
        ["while all boxes lose each other long before", { apart: [2000, 34_000] }],
        ["while all boxes lose each other just before", { apart: [9500, 20_000] }],
        ["while half of the boxes are killed every 2 s", { kills: killTimes }],
        ["while they lose each other and are killed", {
            apart: [6000, 24_000],
            kills: [11_000, 13_000, 15_000, 17_500, 19_000, 23_900],
        }],
        ["while the store is away and half of the boxes are killed", { storeAway: [10_000, 34_000], kills: killTimes }],
        ["while they start apart with half of the records", { apart: [0, 34_000], recordedFraction: 0.5 }],
        ["while they are apart, the store is away and half are killed", {
            apart: [6000, 34_000],
            storeAway: [6000, 24_000],
            kills: killTimes,
        }],
    ];

    for (const size of sizes) {
        describe(`of ${size.boxes} boxes`, () => {
            for (const [name, state] of states) {
                it(`stay within it in every window ${name}`, () => {
                    expect(runRetryFleet({ ...size, ...whole, ...state }).worstExcess).to.be.at.most(0);
                });
            }
        });
    }

    it("stay within it while requests rise, fall and stop at once", () => {
        for (let seed = 1; seed <= 20; seed++) {
            const rateAt = unsteadyRate(100, seed);
            const kills = [13_000, 17_000, 18_000, 22_000, 26_000];
            const fleet = { ...sizes[1], ...whole, rateAt, kills, apart: [10_000, 20_000] } as const;
            expect(runRetryFleet(fleet).worstExcess, `seed ${seed}`).to.be.at.most(0);
        }
    });

    for (const size of sizes) {
        it(`use half of it at least where all requests fail, in calm and apart, of ${size.boxes} boxes`, () => {
            for (const [name, state] of states.slice(0, 3)) {
                expect(runRetryFleet({ ...size, ...whole, ...state }).usedShare, name).to.be.at.least(0.5);
            }
        });
    }
});
