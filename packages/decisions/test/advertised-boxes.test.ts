import { regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { advertisedBoxes, advertisedBoxesOfRegion, eligibleSenders, type MemberRecord } from "../src/index.js";
import { createMember } from "./member.js";

describe("advertised boxes", () => {
    const north = regionId("north");
    const strong = ["s1", "s2", "s3"].map(box => createMember(box, { capacity: 1.35 }));
    const weak = ["w1", "w2", "w3", "w4"].map(box => createMember(box, { capacity: 0.2 }));
    const namesOf = (records: readonly MemberRecord[]) => records.map(record => record.box as string).sort();
    const withLoad = (records: readonly MemberRecord[], load: number) => records.map(record => ({ ...record, load }));

    it("are all boxes of a region if their capacities are equal", () => {
        expect(advertisedBoxesOfRegion(weak, north)).to.have.length(4);
    });

    it("are only the strong boxes while these have spare capacity", () => {
        const boxes = [...weak, ...withLoad(strong, 0.3)];
        expect(namesOf(advertisedBoxesOfRegion(boxes, north))).to.deep.equal(["s1", "s2", "s3"]);
    });

    it("include as many weak boxes as the load requires", () => {
        // 3 x 1.35 x 0.5 = 2.03 cores are used at most; each weak box adds 0.1.
        const boxes = [...weak, ...withLoad(strong, 0.7)];
        expect(advertisedBoxesOfRegion(boxes, north)).to.have.length(4);
        expect(advertisedBoxesOfRegion([...weak, ...withLoad(strong, 1.2)], north)).to.have.length(7);
    });

    it("include weak boxes when few strong ones are left", () => {
        expect(namesOf(advertisedBoxesOfRegion([...weak, strong[0]], north))).to.include("s1").and.to.have.length(3);
    });

    it("do not depend on the order of the members", () => {
        const boxes = [...withLoad(strong, 0.7), ...weak];
        const reversed = [...boxes].reverse();
        expect(advertisedBoxesOfRegion(reversed, north)).to.deep.equal(advertisedBoxesOfRegion(boxes, north));
    });

    it("are selected for each region separately", () => {
        const south = createMember("x", { region: regionId("south"), capacity: 0.2 });
        expect(namesOf(advertisedBoxes([...strong, ...weak, south]))).to.deep.equal(["s1", "s2", "s3", "x"]);
    });

    it("send to cold servers of their region, and of another region only if that has no boxes [P14]", () => {
        const south = createMember("x", { region: regionId("south") });
        expect(eligibleSenders([...strong, south], regionId("south"))).to.deep.equal(["x"]);
        expect(eligibleSenders(strong, regionId("south"))).to.have.length(3);
    });
});
