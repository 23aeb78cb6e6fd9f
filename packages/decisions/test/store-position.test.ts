import { expect } from "chai";
import fc from "fast-check";
import { describePosition, epochOf, revisionInEpoch, storePosition } from "../src/index.js";

describe("a position in the store's history", () => {
    const epochs = fc.integer({ min: 0, max: 2 ** 13 - 1 });
    const revisions = fc.integer({ min: 0, max: 2 ** 40 - 1 });

    it("is ordered by the epoch first and by the revision within it", () => {
        fc.assert(fc.property(epochs, revisions, epochs, revisions, (epoch, revision, otherEpoch, otherRevision) => {
            const position = storePosition(epoch, revision)!;
            const other = storePosition(otherEpoch, otherRevision)!;
            expect(Number.isSafeInteger(position)).to.equal(true);
            expect([epochOf(position), revisionInEpoch(position)]).to.deep.equal([epoch, revision]);
            const isBefore = epoch < otherEpoch || epoch === otherEpoch && revision < otherRevision;
            expect(position < other).to.equal(isBefore);
        }));
    });

    it("equals the revision for a store that reports no epoch", () => {
        expect(storePosition(0, 53)).to.equal(53);
        expect(describePosition(53)).to.equal("53");
        expect(describePosition(storePosition(7, 53)!)).to.equal("7/53");
    });

    it("is undefined out of range", () => {
        for (
            const [epoch, revision] of [[-1, 5], [2 ** 13, 5], [0, -1], [0, 2 ** 40], [NaN, 5], [0, Infinity]] as const
        ) {
            expect(storePosition(epoch, revision)).to.equal(undefined);
        }
    });
});
