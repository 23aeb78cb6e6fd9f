import { sortByCapacity } from "@chalkdale/decisions";
import { createSeededRandom } from "@chalkdale/kernel";
import { expect } from "chai";
import { type EmulatedFleetOptions, startEmulatedFleet, type UnservedFault } from "./emulated-fleet.js";

const faults: readonly UnservedFault[] = ["reset", "refused", "silence"];
const bound = 3000;
/** Milliseconds until all relays follow the store and the fleet is in a steady state. */
const steadyAfter = 4000;

/**
 * Returns the milliseconds from the acknowledgement of a change until all boxes have it, while the store serves only
 * some boxes.
 */
async function propagationTime(
    isServed: (box: string, rank: number, region: string) => boolean,
    fault: UnservedFault,
    options: Partial<EmulatedFleetOptions> & { readonly changeAfter: number; },
) {
    const fleet = startEmulatedFleet({ boxesOfRegion: 23, maxPropagationDelay: bound, seed: 1, ...options });
    try {
        const ranks = new Map(
            ["north", "east", "south"].flatMap(region =>
                sortByCapacity(fleet.records.filter(record => record.region === region))
                    .map((record, rank) => [record.box, rank] as const)
            ),
        );
        await fleet.runUntil(steadyAfter);
        const served = new Set(
            fleet.records.filter(({ box, region }) => isServed(box, ranks.get(box)!, region)).map(({ box }) => box),
        );
        fleet.failCalls(({ box }) => served.has(box) ? undefined : fault);
        await fleet.runUntil(steadyAfter + options.changeAfter);
        const revision = fleet.change();
        while (fleet.boxesBehind(revision).length > 0 && fleet.now() < steadyAfter + 5 * bound) {
            await fleet.runUntil(fleet.now() + 20);
        }
        return fleet.now() - steadyAfter - options.changeAfter;
    }
    finally {
        fleet.stop();
    }
}

describe("a store that serves only some boxes [P8]", () => {
    const subsets: readonly (readonly [string, (random: () => number) => Parameters<typeof propagationTime>[0]])[] = [
        ["a third of the boxes", random => () => random() >= 0.35],
        ["two thirds", random => () => random() >= 0.66],
        ["nine of ten", random => () => random() >= 0.9],
        ["the relays", () => (_, rank) => rank > 0],
        ["the five strongest of each region", () => (_, rank) => rank > 4],
        ["all of two regions", () => (_box, _rank, region) => region === "south"],
        ["all but the weakest of a region", () => (_, rank, region) => region === "east" && rank === 22],
    ];
    for (const fault of faults) {
        for (const [name, isServedFor] of subsets) {
            it(`is followed within the bound by all boxes while ${name} are not served, by ${fault}`, async () => {
                const times: number[] = [];
                for (const [seed, changeAfter] of [[1, 20], [2, 170], [3, 700], [4, 1400]]) {
                    const random = createSeededRandom(seed);
                    times.push(await propagationTime(isServedFor(random), fault, { seed, changeAfter }));
                }
                expect(Math.max(...times), times.join(", ")).to.be.at.most(bound);
            });
        }
    }

    it("is followed by all boxes within a bound of 2 s, and while datagrams are lost", async () => {
        const isServed = subsets[6][1](() => 0);
        const options = { seed: 5, changeAfter: 20 };
        expect(await propagationTime(isServed, "silence", { ...options, maxPropagationDelay: 2000 })).to.be.at.most(
            2000,
        );
        expect(await propagationTime(isServed, "silence", { ...options, loss: 0.05 })).to.be.at.most(bound);
    });

    it("costs no more calls in steady state than three watches of each relay, and a change reaches all boxes at once", async () => {
        const fleet = startEmulatedFleet({ boxesOfRegion: 23, maxPropagationDelay: bound, seed: 1 });
        await fleet.runUntil(steadyAfter);
        const callsBefore = fleet.storeCalls();
        await fleet.runUntil(steadyAfter + 9000);
        expect(fleet.storeCalls() - callsBefore).to.be.at.most(3 * 3 * 10);
        const revision = fleet.change();
        await fleet.runUntil(fleet.now() + 300);
        expect(fleet.boxesBehind(revision)).to.have.length(0);
        fleet.stop();
    });
});
