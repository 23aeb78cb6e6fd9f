/**
 * All boxes of a fleet after the store has come back from an older copy of its own.
 */

import { expect } from "chai";
import { startEmulatedFleet } from "./emulated-fleet.js";

const bound = 3000;
/** Time until all relays follow the store in calm. */
const calmAfter = 4000;
const awayFor = 700;

/** Milliseconds from the acknowledgement of a change, so long after the store's return, to the last box. */
async function timeToLastBox(boxesOfRegion: number, changeAfter: number, seed: number, loss = 0): Promise<number> {
    const fleet = startEmulatedFleet({ boxesOfRegion, changeBound: bound, seed, loss });
    try {
        await fleet.runUntil(calmAfter);
        fleet.change();
        await fleet.runUntil(calmAfter + bound);
        fleet.restore(awayFor);
        await fleet.runUntil(fleet.now() + awayFor + changeAfter);
        const changedAt = fleet.now();
        const changed = fleet.change();
        while (fleet.behind(changed).length > 0 && fleet.now() < changedAt + 5 * bound) {
            await fleet.runUntil(fleet.now() + 20);
        }
        return fleet.now() - changedAt;
    }
    finally {
        fleet.end();
    }
}

describe("a store that comes back from an older copy [P8]", () => {
    for (const boxesOfRegion of [3, 23, 65]) {
        it(`is followed by ${3 * boxesOfRegion} boxes within the bound, once it has been back for as long`, async () => {
            const times: number[] = [];
            for (const [seed, changeAfter] of [[1, 3000], [2, 3170], [3, 4000]]) {
                times.push(await timeToLastBox(boxesOfRegion, changeAfter, seed));
            }
            expect(Math.max(...times), times.join(", ")).to.be.at.most(bound);
        });
    }

    it("is followed by 740 boxes within the bound, while datagrams are lost", async () => {
        expect(await timeToLastBox(247, 3000, 4, 0.05)).to.be.at.most(bound);
    }).timeout(240_000);
});
