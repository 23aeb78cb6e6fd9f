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

    it("are all boxes of a region whose boxes are alike", () => {
        expect(advertisedBoxesOfRegion(weak, north)).to.have.length(4);
    });

    it("are the strong boxes only, while these carry the load with ease", () => {
        const boxes = [...weak, ...withLoad(strong, 0.3)];
        expect(namesOf(advertisedBoxesOfRegion(boxes, north))).to.deep.equal(["s1", "s2", "s3"]);
    });

    it("are joined by as many weak boxes as the load needs", () => {
        // 3 x 1.35 x 0.5 = 2.03 cores are used at most; each weak box adds 0.1.
        const boxes = [...weak, ...withLoad(strong, 0.7)];
        expect(advertisedBoxesOfRegion(boxes, north)).to.have.length(4);
        expect(advertisedBoxesOfRegion([...weak, ...withLoad(strong, 1.2)], north)).to.have.length(7);
    });

    it("are joined by weak boxes when few strong ones are left", () => {
        expect(namesOf(advertisedBoxesOfRegion([...weak, strong[0]], north))).to.include("s1").and.to.have.length(3);
    });

    it("are the same whatever the order in which members are known", () => {
        const boxes = [...withLoad(strong, 0.7), ...weak];
        const reversed = [...boxes].reverse();
        expect(advertisedBoxesOfRegion(reversed, north)).to.deep.equal(advertisedBoxesOfRegion(boxes, north));
    });

    it("are chosen for each region by itself", () => {
        const south = createMember("x", { region: regionId("south"), capacity: 0.2 });
        expect(namesOf(advertisedBoxes([...strong, ...weak, south]))).to.deep.equal(["s1", "s2", "s3", "x"]);
    });

    it("send to cold servers of their region, and to others only where there are none [P14]", () => {
        const south = createMember("x", { region: regionId("south") });
        expect(eligibleSenders([...strong, south], regionId("south"))).to.deep.equal(["x"]);
        expect(eligibleSenders(strong, regionId("south"))).to.have.length(3);
    });
});
