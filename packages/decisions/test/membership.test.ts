import { incarnationId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createMembership, type MemberRecord } from "../src/index.js";
import { createMember } from "./member.js";

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
