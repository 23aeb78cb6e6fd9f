/**
 * Guards against cold and limited servers that get more than they bear from all boxes together, whatever the boxes know
 * of each other, and against rates that are left unused.
 */

import { expect } from "chai";
import { type ColdFleetOptions, runColdFleet } from "./emulated-cold-fleet.js";

type State = Pick<ColdFleetOptions, "partition" | "killInterval" | "isStoreAway" | "recordedFraction">;

/** Requests a second that a cold server bears, and that servers report: the smallest and the greatest in use. */
const coldRates = [2.3, 14];
const limitedRates = [1.5, 12];
/** Servers of the service, spread over three regions. */
const servers = 6;
const calmStates: readonly [name: string, state: State][] = [
    ["in calm", {}],
    ["while all boxes are apart", { partition: "everyBox" }],
    ["while boxes see only those of their zone", { partition: "zones" }],
    ["while boxes see only those of their region", { partition: "regions" }],
    ["while one zone is apart", { partition: "oneZone" }],
];
const states: readonly [name: string, state: State][] = [
    ...calmStates,
    ["while half of the boxes are killed every second", { killInterval: 1000 }],
    ["while boxes are apart and killed", { partition: "everyBox", killInterval: 1000 }],
    ["while zones are apart and boxes are killed", { partition: "zones", killInterval: 1500 }],
    ["while boxes are killed and the store is away", { killInterval: 1000, isStoreAway: true }],
    ["while zones are apart, boxes are killed and the store is away", {
        partition: "zones",
        killInterval: 1000,
        isStoreAway: true,
    }],
    ["while boxes start with half of the records", { killInterval: 1000, recordedFraction: 0.5 }],
];

/** Large fleets take long to emulate: they are run with one rate, and the largest one in a few states. */
const sizes = [
    { boxes: 9, states, coldRates, limitedRates },
    { boxes: 65, states, coldRates, limitedRates },
    { boxes: 195, states, coldRates: [6.9], limitedRates: [12] },
    { boxes: 740, states: calmStates.slice(0, 3), coldRates: [6.9], limitedRates: [1.5] },
];

for (const { boxes, ...size } of sizes) {
    describe(`cold servers of ${boxes} boxes [P14]`, () => {
        for (const [name, state] of size.states) {
            it(`get no more than they tolerate in any second ${name}`, () => {
                for (const rate of size.coldRates) {
                    const { mostInASecond } = runColdFleet({ boxes, servers, ...state, rate, bound: "cold" });
                    expect(mostInASecond, `rate ${rate}`).to.be.at.most(1.5 * rate + 5);
                }
            });
        }

        it("get half of what they bear at least while all are cold", () => {
            for (const [name, state] of calmStates.slice(0, boxes > 200 ? 2 : undefined)) {
                const { usedFraction } = runColdFleet({ boxes, servers, ...state, rate: 14, bound: "cold" });
                expect(usedFraction, name).to.be.at.least(0.5);
            }
        });
    });

    describe(`limited servers of ${boxes} boxes [P27]`, () => {
        for (const [name, state] of size.states) {
            it(`get no more than they tolerate in 4 s ${name}`, () => {
                for (const rate of size.limitedRates) {
                    const { mostInFourSeconds } = runColdFleet({ boxes, servers, ...state, rate, bound: "limited" });
                    expect(mostInFourSeconds, `rate ${rate}`).to.be.at.most(1.5 * 4 * rate + 5);
                }
            });
        }
    });
}
