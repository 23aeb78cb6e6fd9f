import { sortByCapacity } from "@chalkdale/decisions";
import { createSeededRandom } from "@chalkdale/kernel";
import { expect } from "chai";
import { type EmulatedFleetOptions, startEmulatedFleet, type TurnedAwayBy } from "./emulated-fleet.js";

const kinds: readonly TurnedAwayBy[] = ["reset", "refused", "silence"];
const bound = 3000;
/** Time until all relays follow the store in calm. */
const calmAfter = 4000;

/** Milliseconds from the acknowledgement of a change to the last box, while the store turns away all boxes that are not served. */
async function timeToLastBox(
    isServed: (box: string, rank: number, region: string) => boolean,
    by: TurnedAwayBy,
    options: Partial<EmulatedFleetOptions> & { readonly changeAfter: number; },
) {
    const fleet = startEmulatedFleet({ boxesOfRegion: 23, changeBound: bound, seed: 1, ...options });
    try {
        const ranks = new Map(
            ["north", "east", "south"].flatMap(region =>
                sortByCapacity(fleet.records.filter(record => record.region === region))
                    .map((record, rank) => [record.box, rank] as const)
            ),
        );
        await fleet.runUntil(calmAfter);
        const served = new Set(
            fleet.records.filter(({ box, region }) => isServed(box, ranks.get(box)!, region)).map(({ box }) => box),
        );
        fleet.turnAway(({ box }) => served.has(box) ? undefined : by);
        await fleet.runUntil(calmAfter + options.changeAfter);
        const changed = fleet.change();
        while (fleet.behind(changed).length > 0 && fleet.now() < calmAfter + 5 * bound) {
            await fleet.runUntil(fleet.now() + 20);
        }
        return fleet.now() - calmAfter - options.changeAfter;
    }
    finally {
        fleet.end();
    }
}

describe("a store that turns boxes away [P8]", () => {
    const subsets: readonly (readonly [string, (random: () => number) => Parameters<typeof timeToLastBox>[0]])[] = [
        ["a third of the boxes", random => () => random() >= 0.35],
        ["two thirds", random => () => random() >= 0.66],
        ["nine of ten", random => () => random() >= 0.9],
        ["the relays", () => (_, rank) => rank > 0],
        ["the five strongest of each region", () => (_, rank) => rank > 4],
        ["all of two regions", () => (_box, _rank, region) => region === "south"],
        ["all but the weakest of a region", () => (_, rank, region) => region === "east" && rank === 22],
    ];
    for (const by of kinds) {
        for (const [name, subset] of subsets) {
            it(`is followed within the bound by all boxes while ${name} are turned away by ${by}`, async () => {
                const times: number[] = [];
                for (const [seed, changeAfter] of [[1, 20], [2, 170], [3, 700], [4, 1400]]) {
                    const random = createSeededRandom(seed);
                    times.push(await timeToLastBox(subset(random), by, { seed, changeAfter }));
                }
                expect(Math.max(...times), times.join(", ")).to.be.at.most(bound);
            });
        }
    }

    it("is followed within a bound of 2 s, and while datagrams are lost, by whoever is served", async () => {
        const isServed = subsets[6][1](() => 0);
        const options = { seed: 5, changeAfter: 20 };
        expect(await timeToLastBox(isServed, "silence", { ...options, changeBound: 2000 })).to.be.at.most(2000);
        expect(await timeToLastBox(isServed, "silence", { ...options, loss: 0.05 })).to.be.at.most(bound);
    });

    it("costs no more calls in calm than three watches of each relay, and a change reaches all at once", async () => {
        const fleet = startEmulatedFleet({ boxesOfRegion: 23, changeBound: bound, seed: 1 });
        await fleet.runUntil(calmAfter);
        const callsBefore = fleet.calls();
        await fleet.runUntil(calmAfter + 9000);
        expect(fleet.calls() - callsBefore).to.be.at.most(3 * 3 * 10);
        const changed = fleet.change();
        await fleet.runUntil(fleet.now() + 300);
        expect(fleet.behind(changed)).to.have.length(0);
        fleet.end();
    });
});
