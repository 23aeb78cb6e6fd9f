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
    const report = (record: MemberRecord, ages: Partial<MemberStatus> = {}): MemberStatus[] => [
        { record, heardAgo: 0, suspectedFor: undefined, ...ages },
    ];
    /** Time after which a suspected box counts as failed in a fleet of two. */
    const failureTimeout = suspicionTimeout(2);

    describe("a box that does not answer", () => {
        it("counts as failed after the suspicion timeout, and still gets messages", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            expect(namesOf(members.alive(at(300 + failureTimeout - 1)))).to.deep.equal(["self", "a"]);
            expect(namesOf(members.alive(at(300 + failureTimeout)))).to.deep.equal(["self"]);
            expect(namesOf(members.recentMembers(at(300 + failureTimeout)))).to.deep.equal(["a"]);
        });

        it("is not suspected once any box has heard from it since the probe", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            members.merge(report(createMember("a"), { heardAgo: 100 }), at(1000));
            expect(namesOf(members.alive(at(300 + failureTimeout)))).to.deep.equal(["self", "a"]);
        });

        it("stays suspected after a report that is older than the probe", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            members.merge(report(createMember("a"), { heardAgo: 800 }), at(1000));
            expect(namesOf(members.alive(at(300 + failureTimeout)))).to.deep.equal(["self"]);
        });

        it("is alive again as soon as it is heard from", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.onProbeFailed(createMember("a").box, at(300));
            members.onHeard(createMember("a"), at(9000));
            expect(namesOf(members.alive(at(9000)))).to.deep.equal(["self", "a"]);
        });
    });

    describe("what other boxes report", () => {
        it("disseminates a suspicion with its age", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            members.merge(report(createMember("a"), { heardAgo: 900, suspectedFor: 600 }), at(1000));
            expect(namesOf(members.alive(at(400 + failureTimeout)))).to.deep.equal(["self"]);
            const updates = members.nextUpdates(5, at(1000));
            expect(updates.map(({ record, suspectedFor }) => [record.box, suspectedFor])).to.deep.equal([["a", 600]]);
        });

        it("makes this box refute a suspicion if it has heard from the suspect since", () => {
            const members = create();
            members.onHeard(createMember("a"), at(0));
            while (members.nextUpdates(1, at(0)).length > 0 && members.nextUpdates(0, at(0)).length > 0) {
                // All updates are sent until none is left.
            }
            members.onHeard(createMember("a"), at(900));
            members.merge(report(createMember("a"), { heardAgo: 950, suspectedFor: 600 }), at(1000));
            expect(namesOf(members.alive(at(300 + failureTimeout)))).to.include("a");
            expect(members.nextUpdates(1, at(1000))[0]).to.include({ heardAgo: 100, suspectedFor: undefined });
        });

        it("is noted once when it is a suspicion of this box itself", () => {
            const members = create();
            members.merge(report(createMember("self"), { heardAgo: 900, suspectedFor: 600 }), at(1000));
            expect(members.consumeOwnSuspicion()).to.equal(true);
            expect(members.consumeOwnSuspicion()).to.equal(false);
            expect(namesOf(members.inService(at(9000)))).to.deep.equal(["self"]);
        });

        it("is forwarded in a bounded number of messages, then in turn", () => {
            const members = create();
            for (let index = 0; index < 40; index++) {
                members.onHeard(createMember(`box-${index}`), at(0));
            }
            const first = members.nextUpdates(24, at(0));
            expect(first).to.have.length(24);
            const forwarded = new Set<string>();
            for (let round = 0; round < 60; round++) {
                members.nextUpdates(24, at(0)).forEach(({ record }) => forwarded.add(record.box));
            }
            expect(forwarded.size).to.equal(40);
            expect(members.nextUpdates(24, at(0)).length).to.be.within(1, 4);
        });

        it("does not change the state of this box itself", () => {
            const members = create();
            members.merge(report(createMember("self", { leaving: true, heartbeat: 99 })), at(0));
            expect(namesOf(members.inService(at(10)))).to.deep.equal(["self"]);
        });
    });

    describe("a region", () => {
        const far = createMember("far", { region: regionId("south") });

        it("counts as failed if no box has heard from it for `regionFailureTimeout`", () => {
            const members = create();
            members.onHeard(far, at(0));
            members.mergeRegionAges(new Map([[regionId("south"), 500]]), at(3000));
            expect(namesOf(members.alive(at(2400 + regionFailureTimeout - 1)))).to.include("far");
            expect(namesOf(members.alive(at(2400 + regionFailureTimeout)))).to.deep.equal(["self"]);
        });

        it("is alive again with the first message from it", () => {
            const members = create();
            members.onHeard(far, at(0));
            members.onHeard(far, at(20_000));
            expect(namesOf(members.alive(at(20_000)))).to.deep.equal(["self", "far"]);
        });
    });

    it("takes over a new incarnation of a box at once, and ignores the old one from then on", () => {
        const members = create();
        members.onHeard(createMember("a", { heartbeat: 90 }), at(0));
        members.onHeard(createMember("a", { incarnation: incarnationId("2"), heartbeat: 1 }), at(10));
        members.merge(report(createMember("a", { heartbeat: 95, leaving: true })), at(20));
        expect(namesOf(members.inService(at(30)))).to.deep.equal(["self", "a"]);
    });

    it("keeps boxes that are leaving or not ready out of service", () => {
        const members = create();
        members.merge(
            [...report(createMember("a", { leaving: true })), ...report(createMember("b", { ready: false }))],
            at(0),
        );
        expect(namesOf(members.inService(at(10)))).to.deep.equal(["self"]);
        expect(namesOf(members.alive(at(10)))).to.deep.equal(["self", "a", "b"]);
    });
});
