import { incarnationId, milliseconds, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { chooseBoxes, createMembership, createReplica, type MemberRecord } from "../src/index.js";
import { createMember } from "./member.js";

describe("replica [P8]", () => {
    function create() {
        const seen: string[][] = [];
        const replica = createReplica<{ name: string; }>(
            item => item.name,
            items => seen.push(items.map(item => item.name)),
        );
        return { replica, seen };
    }

    it("never goes back to an older snapshot, whoever sent it", () => {
        const { replica, seen } = create();
        expect(replica.applySnapshot({ revision: 5, items: [{ name: "new" }] })).to.equal(true);
        expect(replica.applySnapshot({ revision: 4, items: [{ name: "old" }] })).to.equal(false);
        expect(seen).to.deep.equal([["new"]]);
    });

    it("refuses changes when others may be missing before them", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [] });
        expect(replica.applyChanges(6, [{ kind: "put", name: "a", item: { name: "a" } }], 7)).to.equal(false);
        expect(replica.snapshot()).to.deep.equal({ revision: 5, items: [] });
    });

    it("refuses changes that end before its revision", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        expect(replica.applyChanges(3, [{ kind: "gone", name: "a" }], 4)).to.equal(false);
        expect(replica.snapshot()).to.deep.equal({ revision: 5, items: [{ name: "a" }] });
    });

    it("takes changes that begin before its revision, as a second source tells them", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        const changes = [
            { kind: "put", name: "a", item: { name: "a" } },
            { kind: "gone", name: "a" },
            { kind: "put", name: "b", item: { name: "b" } },
        ] as const;
        expect(replica.applyChanges(4, changes, 7)).to.equal(true);
        expect(replica.snapshot()).to.deep.equal({ revision: 7, items: [{ name: "b" }] });
    });

    it("tells the revision of the last change apart from the one it is complete to", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        replica.applyChanges(5, [], 9);
        expect(replica.revision()).to.equal(9);
        expect(replica.changedRevision()).to.equal(5);
        replica.applyChanges(9, [{ kind: "gone", name: "a" }], 12);
        expect(replica.snapshot()).to.deep.equal({ revision: 12, items: [] });
        expect(replica.changedRevision()).to.equal(12);
    });
});

describe("membership [P19]", () => {
    const create = () =>
        createMembership({
            self: createMember("self"),
            failAfter: milliseconds(4000),
            forgetAfter: milliseconds(60_000),
        });
    const namesOf = (records: readonly MemberRecord[]) => records.map(record => record.box as string);

    it("takes a box whose heartbeat stands still as failed, and keeps greeting it", () => {
        const members = create();
        members.merge([createMember("a")], milliseconds(0));
        members.merge([createMember("a")], milliseconds(3000));
        expect(namesOf(members.alive(milliseconds(3900)))).to.deep.equal(["self", "a"]);
        expect(namesOf(members.alive(milliseconds(4100)))).to.deep.equal(["self"]);
        expect(namesOf(members.reachable(milliseconds(4100)))).to.deep.equal(["a"]);
    });

    it("takes a new life of a box at once, and nothing of the old one after it", () => {
        const members = create();
        members.merge([createMember("a", { heartbeat: 90 })], milliseconds(0));
        members.merge([createMember("a", { incarnation: incarnationId("2"), heartbeat: 1 })], milliseconds(10));
        members.merge([createMember("a", { heartbeat: 95, leaving: true })], milliseconds(20));
        expect(namesOf(members.inService(milliseconds(30)))).to.deep.equal(["self", "a"]);
    });

    it("keeps boxes that are leaving or not ready out of service", () => {
        const members = create();
        members.merge([createMember("a", { leaving: true }), createMember("b", { ready: false })], milliseconds(0));
        expect(namesOf(members.inService(milliseconds(10)))).to.deep.equal(["self"]);
        expect(namesOf(members.alive(milliseconds(10)))).to.deep.equal(["self", "a", "b"]);
    });

    it("is not told about itself by others", () => {
        const members = create();
        members.merge([createMember("self", { leaving: true, heartbeat: 99 })], milliseconds(0));
        expect(namesOf(members.inService(milliseconds(10)))).to.deep.equal(["self"]);
    });
});

describe("directory [P19]", () => {
    it("names the boxes of the caller's region, and others only if it has none", () => {
        const north = createMember("n");
        const south = createMember("s", { region: regionId("south") });
        expect(chooseBoxes([north, south], { region: regionId("south"), zone: undefined })).to.deep.equal(["s:2"]);
        expect(chooseBoxes([north], { region: regionId("south"), zone: undefined })).to.deep.equal(["n:2"]);
    });
});
