import { incarnationId, milliseconds, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    createMembership,
    type MemberRecord,
    type MemberStatus,
    regionFailureTimeout,
    suspicionTimeout,
} from "../src/index.js";
import { createMember } from "./member.js";

describe("membership [P19]", () => {
    const create = () => createMembership(createMember("self"));
    const namesOf = (records: readonly MemberRecord[]) => records.map(record => record.box as string);
    const at = milliseconds;
    const told = (record: MemberRecord, ages: Partial<MemberStatus> = {}): MemberStatus[] => [
        { record, heardAgo: 0, suspectedFor: undefined, ...ages },
    ];
    /** Time after which a suspected box counts as failed while two boxes are known. */
    const patience = suspicionTimeout(2);

    describe("a box that does not answer", () => {
        it("counts as failed after a while, and is still asked", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            expect(namesOf(members.alive(at(300 + patience - 1)))).to.deep.equal(["self", "a"]);
            expect(namesOf(members.alive(at(300 + patience)))).to.deep.equal(["self"]);
            expect(namesOf(members.recentMembers(at(300 + patience)))).to.deep.equal(["a"]);
        });

        it("is not suspected once someone has heard from it since it was asked", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            members.merge(told(createMember("a"), { heardAgo: 100 }), at(1000));
            expect(namesOf(members.alive(at(300 + patience)))).to.deep.equal(["self", "a"]);
        });

        it("stays suspected after news that is older than the question", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            members.merge(told(createMember("a"), { heardAgo: 800 }), at(1000));
            expect(namesOf(members.alive(at(300 + patience)))).to.deep.equal(["self"]);
        });

        it("is back as soon as it is heard", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            members.onHeard(createMember("a"), at(9000));
            expect(namesOf(members.alive(at(9000)))).to.deep.equal(["self", "a"]);
        });
    });

    describe("what others tell", () => {
        it("spreads a suspicion with its age", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.merge(told(createMember("a"), { heardAgo: 900, suspectedFor: 600 }), at(1000));
            expect(namesOf(members.alive(at(400 + patience)))).to.deep.equal(["self"]);
            const news = members.nextUpdates(5, at(1000));
            expect(news.map(({ record, suspectedFor }) => [record.box, suspectedFor])).to.deep.equal([["a", 600]]);
        });

        it("contradicts a suspicion of a box that this one has heard since", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            while (members.nextUpdates(1, at(0)).length > 0 && members.nextUpdates(0, at(0)).length > 0) {
                // Nothing is news any more.
            }
            members.onHeard(createMember("a"), at(900));
            members.merge(told(createMember("a"), { heardAgo: 950, suspectedFor: 600 }), at(1000));
            expect(namesOf(members.alive(at(300 + patience)))).to.include("a");
            expect(members.nextUpdates(1, at(1000))[0]).to.include({ heardAgo: 100, suspectedFor: undefined });
        });

        it("says once when others suspect this box itself", () => {
            const members = create();
            members.merge(told(createMember("self"), { heardAgo: 900, suspectedFor: 600 }), at(1000));
            expect(members.consumeOwnSuspicion()).to.equal(true);
            expect(members.consumeOwnSuspicion()).to.equal(false);
            expect(namesOf(members.inService(at(9000)))).to.deep.equal(["self"]);
        });

        it("is told on in a bounded number of messages, then in turn", () => {
            const members = create();
            for (let index = 0; index < 40; index++) {
                members.onHeard(createMember(`box-${index}`), at(0));
            }
            const first = members.nextUpdates(24, at(0));
            expect(first).to.have.length(24);
            const toldOf = new Set<string>();
            for (let round = 0; round < 60; round++) {
                members.nextUpdates(24, at(0)).forEach(({ record }) => toldOf.add(record.box));
            }
            expect(toldOf.size).to.equal(40);
            expect(members.nextUpdates(24, at(0)).length).to.be.within(1, 4);
        });

        it("does not change what a box says of itself", () => {
            const members = create();
            members.merge(told(createMember("self", { leaving: true, heartbeat: 99 })), at(0));
            expect(namesOf(members.inService(at(10)))).to.deep.equal(["self"]);
        });
    });

    describe("a region", () => {
        const far = createMember("far", { region: regionId("south") });

        it("counts as failed when nobody has heard from it for long", () => {
            const members = create();
            members.onHeard(far, at(0));
            members.mergeRegionAges(new Map([[regionId("south"), 500]]), at(3000));
            expect(namesOf(members.alive(at(2400 + regionFailureTimeout - 1)))).to.include("far");
            expect(namesOf(members.alive(at(2400 + regionFailureTimeout)))).to.deep.equal(["self"]);
        });

        it("is back with the first message from it", () => {
            const members = create();
            members.onHeard(far, at(0));
            members.onHeard(far, at(20_000));
            expect(namesOf(members.alive(at(20_000)))).to.deep.equal(["self", "far"]);
        });
    });

    it("takes a new life of a box at once, and nothing of the old one after it", () => {
        const members = create();
        members.onHeard(createMember("a", { heartbeat: 90 }), at(0));
        members.onHeard(createMember("a", { incarnation: incarnationId("2"), heartbeat: 1 }), at(10));
        members.merge(told(createMember("a", { heartbeat: 95, leaving: true })), at(20));
        expect(namesOf(members.inService(at(30)))).to.deep.equal(["self", "a"]);
    });

    it("keeps boxes that are leaving or not ready out of service", () => {
        const members = create();
        members.merge(
            [...told(createMember("a", { leaving: true })), ...told(createMember("b", { ready: false }))],
            at(0),
        );
        expect(namesOf(members.inService(at(10)))).to.deep.equal(["self"]);
        expect(namesOf(members.alive(at(10)))).to.deep.equal(["self", "a", "b"]);
    });
});
