import { expect } from "chai";
import fc from "fast-check";
import { describePosition, eraOf, revisionWithin, storePosition } from "../src/index.js";

describe("a position in the store's history", () => {
    const eras = fc.integer({ min: 0, max: 2 ** 13 - 1 });
    const revisions = fc.integer({ min: 0, max: 2 ** 40 - 1 });

    it("goes by the era first and by the revision within it", () => {
        fc.assert(fc.property(eras, revisions, eras, revisions, (era, revision, otherEra, otherRevision) => {
            const position = storePosition(era, revision)!;
            const other = storePosition(otherEra, otherRevision)!;
            expect(Number.isSafeInteger(position)).to.equal(true);
            expect([eraOf(position), revisionWithin(position)]).to.deep.equal([era, revision]);
            const isBefore = era < otherEra || era === otherEra && revision < otherRevision;
            expect(position < other).to.equal(isBefore);
        }));
    });

    it("is the revision itself for a store that tells no era", () => {
        expect(storePosition(0, 53)).to.equal(53);
        expect(describePosition(53)).to.equal("53");
        expect(describePosition(storePosition(7, 53)!)).to.equal("7/53");
    });

    it("is none beyond its range", () => {
        for (
            const [era, revision] of [[-1, 5], [2 ** 13, 5], [0, -1], [0, 2 ** 40], [NaN, 5], [0, Infinity]] as const
        ) {
            expect(storePosition(era, revision)).to.equal(undefined);
        }
    });
});
