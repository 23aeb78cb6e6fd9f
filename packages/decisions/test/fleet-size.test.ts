import { boxId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createFleetSize, type MemberRecord, type Membership } from "../src/index.js";
import { createMember } from "./member.js";

const boxes = Array.from({ length: 12 }, (_, index) => createMember(`box-${index}`));

/** Creates the count of the first box; others are given with the time since they were heard from. */
function createCount() {
    let now = 0;
    let members: readonly { readonly record: MemberRecord; readonly heardAgo: number; }[] = [];
    const membership: Pick<Membership, "alive" | "known"> = {
        alive: () => [boxes[0], ...members.filter(({ heardAgo }) => heardAgo < 2000).map(({ record }) => record)],
        known: () => members.map(member => ({ ...member, suspectedFor: undefined })),
    };
    const fleetSize = createFleetSize({ clock: () => milliseconds(now), self: boxId("box-0"), membership });
    return {
        fleetSize,
        see(at: number, seen: readonly MemberRecord[], heardAgo: number, silent: readonly MemberRecord[] = []) {
            now = at;
            members = [
                ...seen.map(record => ({ record, heardAgo: 100 })),
                ...silent.map(record => ({ record, heardAgo })),
            ];
            return fleetSize.count();
        },
    };
}

describe("number of boxes that share a limit [P11]", () => {
    it("is unknown to a box that has heard from nobody and read no records", () => {
        const { fleetSize, see } = createCount();
        expect(see(0, [], 0)).to.equal(undefined);
        fleetSize.onRecorded([boxId("box-0")]);
        expect(see(1000, [], 0)).to.equal(1);
    });

    it("includes recorded boxes that were never heard from", () => {
        const { fleetSize, see } = createCount();
        fleetSize.onRecorded(boxes.map(({ box }) => box));
        expect(see(1000, boxes.slice(1, 3), 0)).to.equal(12);
    });

    it("includes recorded boxes as soon as they are read", () => {
        const { fleetSize, see } = createCount();
        expect(see(0, [], 0)).to.equal(undefined);
        fleetSize.onRecorded(boxes.map(({ box }) => box));
        expect(see(10, [], 0)).to.equal(12);
    });

    it("does not fall for a box that hears from half of the others or fewer, however long", () => {
        const { see } = createCount();
        expect(see(0, boxes.slice(1), 0)).to.equal(12);
        expect(see(5000, [], 5000, boxes.slice(1))).to.equal(12);
        expect(see(9_000_000, [], 9_000_000, boxes.slice(1))).to.equal(12);
        expect(see(9_100_000, boxes.slice(1, 6), 9_000_000, boxes.slice(6))).to.equal(12);
    });

    it("falls for a majority that has not heard from the others for two minutes", () => {
        const { see } = createCount();
        see(0, boxes.slice(1), 0);
        expect(see(60_000, boxes.slice(1, 8), 60_000, boxes.slice(8))).to.equal(12);
        expect(see(130_000, boxes.slice(1, 8), 130_000, boxes.slice(8))).to.equal(8);
        expect(see(131_000, boxes.slice(1), 0)).to.equal(12);
    });

    it("leaves out boxes that announced their shutdown a while ago", () => {
        const { see } = createCount();
        const leaving = boxes.slice(6).map(record => ({ ...record, leaving: true }));
        see(0, boxes.slice(1), 0);
        expect(see(10_000, boxes.slice(1, 6), 5000, leaving)).to.equal(12);
        expect(see(30_000, boxes.slice(1, 6), 25_000, leaving)).to.equal(6);
    });
});
