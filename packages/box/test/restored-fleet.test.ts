/**
 * All boxes of a fleet receive changes within the bound after the store was restored from an older copy.
 */

import { expect } from "chai";
import { startEmulatedFleet } from "./emulated-fleet.js";

const bound = 3000;
/** Milliseconds until all relays follow the store and the fleet is in a steady state. */
const steadyAfter = 4000;
/** Milliseconds for which the store is unavailable. */
const outage = 700;

/**
 * Returns the milliseconds from the acknowledgement of a change until all boxes have it. The change is made
 * `changeAfter` milliseconds after the store is available again.
 */
async function propagationTime(boxesOfRegion: number, changeAfter: number, seed: number, loss = 0): Promise<number> {
    const fleet = startEmulatedFleet({ boxesOfRegion, maxPropagationDelay: bound, seed, loss });
    try {
        await fleet.runUntil(steadyAfter);
        fleet.change();
        await fleet.runUntil(steadyAfter + bound);
        fleet.restoreOlderCopy(outage);
        await fleet.runUntil(fleet.now() + outage + changeAfter);
        const changedAt = fleet.now();
        const revision = fleet.change();
        while (fleet.boxesBehind(revision).length > 0 && fleet.now() < changedAt + 5 * bound) {
            await fleet.runUntil(fleet.now() + 20);
        }
        return fleet.now() - changedAt;
    }
    finally {
        fleet.stop();
    }
}

describe("a store that is restored from an older copy [P8]", () => {
    for (const boxesOfRegion of [3, 23, 65]) {
        it(`is followed by ${3 * boxesOfRegion} boxes within the bound, once it has been available again for as long`, async () => {
            const times: number[] = [];
            for (const [seed, changeAfter] of [[1, 3000], [2, 3170], [3, 4000]]) {
                times.push(await propagationTime(boxesOfRegion, changeAfter, seed));
            }
            expect(Math.max(...times), times.join(", ")).to.be.at.most(bound);
        });
    }

    it("is followed by 740 boxes within the bound, while datagrams are lost", async () => {
        expect(await propagationTime(247, 3000, 4, 0.05)).to.be.at.most(bound);
    }).timeout(240_000);
});
