/**
 * The boxes that the directory returns to callers of one zone. Simulated callers follow its answers, and their load
 * appears in the members' records.
 */

import { availabilityZoneId, createSeededRandom, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { advertisedBoxes, advertisedBoxesOfRegion, boxesForZone, type MemberRecord } from "../src/index.js";
import { createMember } from "./member.js";

const north = regionId("north");
const [a, b] = ["north-a", "north-b"].map(availabilityZoneId);
const zones = [a, b];
const strong = 1.35;

function fleet(countInA: number, countInB: number, changes: Partial<MemberRecord> = {}): MemberRecord[] {
    const createBoxes = (zone: typeof a, name: string, count: number) =>
        Array.from(
            { length: count },
            (_, index) => createMember(`${name}${index}`, { zone, capacity: strong, ...changes }),
        );
    return [...createBoxes(a, "a", countInA), ...createBoxes(b, "b", countInB)];
}

const weak = ["w0", "w1", "w2"].map(box => createMember(box, { zone: a, capacity: 0.2 }));
const namesOf = (records: readonly MemberRecord[]) => records.map(record => record.box as string).sort();
const namesForZone = (boxes: readonly MemberRecord[], zone = a) => namesOf(boxesForZone(boxes, north, zone));

/**
 * Returns the boxes with the load of their callers. Each caller picks one of the boxes that the directory returns to
 * it. `callers` is by zone, in cores.
 */
function loadFrom(boxes: readonly MemberRecord[], callers: ReadonlyMap<typeof a, number>): MemberRecord[] {
    return boxes.map(record => {
        const parts = zones.map(zone => {
            const found = boxesForZone(boxes, north, zone);
            return found.some(({ box }) => box === record.box) ? (callers.get(zone) ?? 0) / found.length : 0;
        });
        return { ...record, load: parts.reduce((sum, part) => sum + part) };
    });
}

describe("the boxes for callers of a zone [P19]", () => {
    it("are those of the zone while they have capacity for the region's callers without the strongest", () => {
        const boxes = fleet(2, 2, { load: 0.2 });
        expect(namesForZone(boxes)).to.deep.equal(["a0", "a1"]);
        expect(namesForZone(boxes, b)).to.deep.equal(["b0", "b1"]);
    });

    it("do not include weak boxes that are not advertised", () => {
        expect(namesForZone([...fleet(2, 2), ...weak])).to.deep.equal(["a0", "a1"]);
    });

    it("include more boxes of the region as the load grows, and all of them in the end", () => {
        const counts = [0.2, 0.28, 0.4, 0.6, 0.7, 1].map(load => namesForZone(fleet(3, 3, { load })).length);
        expect(counts).to.deep.equal([...counts].sort((one, other) => one - other));
        expect(counts[0]).to.equal(3);
        expect(counts.at(-1)).to.equal(6);
    });

    it("are at least two", () => {
        expect(namesForZone(fleet(1, 2))).to.have.length(2).and.to.include("a0");
    });

    it("are those of the region for a zone without boxes", () => {
        const boxes = fleet(0, 2, { load: 0.1 });
        expect(namesForZone(boxes)).to.deep.equal(namesOf(advertisedBoxesOfRegion(boxes, north)));
        expect(boxesForZone(boxes, regionId("south"), a)).to.deep.equal([]);
    });

    it("include one of another zone when one of two closes", () => {
        const [closing, ...others] = fleet(2, 2, { load: 0.1 });
        expect(namesForZone(others)).to.have.length(2).and.to.not.include(closing.box);
    });

    it("do not depend on the order of the members", () => {
        const boxes = [...fleet(2, 3, { load: 0.6 }), ...weak];
        expect(namesForZone([...boxes].reverse())).to.deep.equal(namesForZone(boxes));
    });

    it("are always advertised boxes, which the shared limits count", () => {
        const random = createSeededRandom(7);
        for (let round = 0; round < 300; round++) {
            const boxes = [...fleet(Math.floor(random() * 4), Math.floor(random() * 4)), ...weak]
                .map(record => ({ ...record, load: random() * record.capacity }));
            const advertised = namesOf(advertisedBoxes(boxes));
            for (const zone of zones) {
                expect(advertised).to.include.members(namesForZone(boxes, zone));
            }
        }
    });

    describe("when callers move from one zone to the other", () => {
        for (const total of [0.4, 1, 1.6, 2.2]) {
            it(`stay the same, and no box is overloaded even with one lost, at ${total} cores`, () => {
                for (const share of [0.5, 0.75, 0.92, 1]) {
                    const callers = new Map([[a, total * share], [b, total * (1 - share)]]);
                    let boxes = fleet(2, 2, { load: total / 4 });
                    const answers = new Set<string>();
                    for (let round = 0; round < 10; round++) {
                        boxes = loadFrom(boxes, callers);
                        answers.add(namesForZone(boxes).join());
                    }
                    const lost = loadFrom(boxes.filter(record => record.box !== "a0"), callers);
                    expect(answers.size, `share ${share}`).to.equal(1);
                    expect(Math.max(...boxes.map(record => record.load))).to.be.below(strong);
                    expect(Math.max(...lost.map(record => record.load))).to.be.below(strong);
                }
            });
        }
    });
});
