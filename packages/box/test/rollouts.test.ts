/**
 * Roll-outs on several boxes while boxes, links and the store fail halfway.
 */

import type { RolloutOrder } from "@chalkdale/decisions";
import { serverVersion } from "@chalkdale/kernel";
import { expect } from "chai";
import { bounds, type RolloutBoxes, service, startRolloutBoxes } from "./rollout-boxes.js";

const boxCount = 6;
const duration = 20_000;

describe("roll-outs on several boxes", () => {
    let world: RolloutBoxes;

    beforeEach(() => {
        world = startRolloutBoxes(boxCount, 300, duration);
    });

    const expectWithinBounds = () => {
        const { counts: { all, toTrial }, times: { fiftiethFailure, lastToTrial } } = world;
        expect(toTrial).to.be.at.most(bounds.exposedShare * all + bounds.exposedAllowance);
        expect(lastToTrial - fiftiethFailure).to.be.at.most(bounds.rollbackTime);
    };
    const expectOneOutcome = (...states: string[]) => expect(world.written).to.deep.equal(states);
    const isTried = (count: number) => {
        for (let rounds = 0; rounds < 100 && world.counts.toTrial < count; rounds++) {
            world.run(100);
        }
        expect(world.counts.toTrial).to.be.at.least(count);
    };
    /** All boxes take another one for the deciding one. */
    const takeOver = (index: number) => world.boxes.forEach(box => box.decider = index);
    const begin = () => world.runUntil("running", 3000);

    it("send nothing to the version before the store has `running` [P23]", async () => {
        world.boxes.forEach(box => box.hasStore = false);
        await world.runUntil("running", 5000);
        expect([world.counts.toTrial, world.order().state]).to.deep.equal([0, undefined]);
        world.boxes.forEach(box => box.hasStore = true);
        expect(await begin()).to.equal(true);
        isTried(5);
    });

    it("complete a good version, all requests moved [P24]", async () => {
        expect(await world.runUntil("completed", duration)).to.equal(true);
        expectOneOutcome("running", "completed");
        world.run(200);
        const { all, toTrial } = world.counts;
        world.run(1000);
        expect(world.counts.all - all).to.equal(world.counts.toTrial - toTrial);
    });

    it("complete a good version though the store turns the deciding box away, and serves others [P24]", async () => {
        world.boxes[0].hasStore = false;
        expect(await world.runUntil("completed", duration)).to.equal(true);
        expectOneOutcome("running", "completed");
    });

    it("are learned by a box without requests, though another order follows at once [P25]", () => {
        const { rollouts } = startRolloutBoxes(1, 0, duration).boxes[0];
        const order = world.order();
        rollouts.onOrders([{ ...order, state: "running", revision: 10 }]);
        rollouts.onOrders([{ ...order, state: "completed", revision: 11 }]);
        rollouts.onOrders([{ ...order, targetVersion: serverVersion("v3"), revision: 12 }]);
        expect(rollouts.versions.provenVersion(service)).to.equal("v2");
    });

    describe("whose states the store has lost, since it came back from an older copy", () => {
        const failedVersion = async () => {
            await begin();
            isTried(20);
            world.failureShare = 0.5;
            expect(await world.runUntil("rolledBack", duration)).to.equal(true);
            world.run(1000);
        };

        it("keep a failed version from requests, and write its end again [P24]", async () => {
            await failedVersion();
            const { toTrial } = world.counts;
            world.restoreStore({ state: "running" });
            expect(await world.runUntil("rolledBack", 3000)).to.equal(true);
            world.run(2000);
            expect(world.counts.toTrial).to.equal(toTrial);
            expectOneOutcome("running", "rolledBack", "rolledBack");
        });

        it("keep it from requests though the order seems new, and another box decides by then [P24]", async () => {
            await failedVersion();
            const { toTrial } = world.counts;
            takeOver(2);
            world.restoreStore({ state: undefined });
            expect(await world.runUntil("rolledBack", 3000)).to.equal(true);
            expect(world.counts.toTrial).to.equal(toTrial);
        });

        it("leave all requests with a version that was completed, and write that again [P24]", async () => {
            expect(await world.runUntil("completed", duration)).to.equal(true);
            world.run(1000);
            world.restoreStore({ state: "running" });
            const { all, toTrial } = world.counts;
            expect(await world.runUntil("completed", 3000)).to.equal(true);
            world.run(1000);
            expect(world.counts.all - all).to.equal(world.counts.toTrial - toTrial);
            expectOneOutcome("running", "completed", "completed");
        });

        it("are decided in time, though the order is another object and the deciding box has started since [P25]", async () => {
            const orderedAt = world.now();
            await begin();
            isTried(20);
            world.run(4000);
            world.restoreStore({ state: undefined, createdAt: 77 });
            world.restart(0);
            expect(await world.runUntil("completed", orderedAt + duration - world.now())).to.equal(true);
        });

        /** The store comes back five times, each time when the version is tried again, and another box decides after each. */
        const restoreOftenWith = async (older: (time: number) => Partial<RolloutOrder>) => {
            await begin();
            for (let time = 1; time <= 5; time++) {
                isTried(world.counts.toTrial + 15);
                takeOver(time);
                world.restoreStore(older(time));
                expect(await begin()).to.equal(true);
            }
            const { all, toTrial } = world.counts;
            expect(toTrial).to.be.at.most(bounds.exposedShare * all + bounds.exposedAllowance);
        };

        it("count on what was granted, whoever decides then [P23]", () =>
            restoreOftenWith(() => ({ state: undefined })));

        it("count on what was granted where the order is lost and is written again as another object [P23]", () =>
            restoreOftenWith(time => ({ state: undefined, createdAt: 70 + time })));
    });

    describe("of a version that fails", () => {
        beforeEach(async () => {
            await begin();
            isTried(20);
            world.failureShare = 0.5;
        });

        const expectRolledBack = async () => {
            expect(await world.runUntil("rolledBack", duration)).to.equal(true);
            expectOneOutcome("running", "rolledBack");
            world.run(1000);
            expectWithinBounds();
        };

        it("roll it back [P23] [P24] [P25]", expectRolledBack);

        it("roll it back though the deciding box freezes, and another one takes over [P23] [P24] [P25]", async () => {
            world.boxes[0].isFrozen = true;
            world.run(2000);
            takeOver(3);
            await expectRolledBack();
            world.boxes[0].isFrozen = false;
            world.run(2000);
            expectWithinBounds();
        });

        it("roll it back though the deciding box is lost with all it knows [P23] [P24] [P25]", async () => {
            world.restart(0);
            takeOver(4);
            await expectRolledBack();
        });

        it("roll it back while two boxes decide at once [P23] [P24] [P25]", async () => {
            world.boxes.slice(3).forEach(box => box.decider = 3);
            await expectRolledBack();
        });

        it("stop a box that is cut off by its cap and its own evidence [P23]", async () => {
            const cutOff = world.boxes[5];
            cutOff.isCutOff = true;
            cutOff.hasStore = false;
            world.run(3000);
            const share = cutOff.rollouts.summaries()[0].report!;
            expect(share.sentToTrial).to.be.at.most(share.cap);
            await expectRolledBack();
        });

        it("stop at once by news while the store is down, and write it when it is back [P24] [P25]", async () => {
            world.boxes.forEach(box => box.hasStore = false);
            await world.runUntil("rolledBack", 6000);
            expect(world.order().state).to.equal("running");
            const { toTrial } = world.counts;
            await world.runUntil("rolledBack", 2000);
            expect(world.counts.toTrial, "sent after the news").to.equal(toTrial);
            world.boxes.forEach(box => box.hasStore = true);
            await expectRolledBack();
        });

        it("write it though the deciding box is lost after its news, and no box reports any more [P24]", async () => {
            world.boxes.forEach(box => box.hasStore = false);
            await world.runUntil("rolledBack", 6000);
            world.boxes[0].isFrozen = true;
            takeOver(3);
            world.boxes.forEach(box => box.hasStore = true);
            expect(await world.runUntil("rolledBack", 2000)).to.equal(true);
            expectOneOutcome("running", "rolledBack");
        });

        it("stop a box that gets no grants any more, by the news alone [P25]", async () => {
            const other = world.boxes[5];
            other.decider = 4;
            world.boxes[4].isFrozen = true;
            other.hasStore = false;
            other.hearsCopies = false;
            expect(await world.runUntil("rolledBack", duration)).to.equal(true);
            world.run(100);
            expect(other.rollouts.requests.of(service)?.traffic.decision()).to.equal("rolledBack");
        });

        it("stop a box that missed the news, when it reports [P25]", async () => {
            const late = world.boxes[5];
            await world.runUntil("rolledBack", duration);
            late.isCutOff = true;
            late.hasStore = false;
            world.run(1000);
            late.isCutOff = false;
            world.run(1000);
            expect(late.rollouts.requests.of(service)?.traffic.share()).to.equal(0);
        });

        it("open no other trial on a box that was cut off while the store was down, whoever decides then [P23] [P25]", async () => {
            const late = world.boxes[5];
            world.boxes.forEach(box => box.hasStore = false);
            late.isCutOff = true;
            await world.runUntil("rolledBack", 8000);
            expect(world.boxes[3].rollouts.requests.of(service)?.traffic.decision()).to.equal("rolledBack");
            takeOver(3);
            late.isCutOff = false;
            world.run(3000);
            expect(late.rollouts.requests.of(service)?.traffic.decision()).to.equal("rolledBack");
            const { toTrial } = world.counts;
            world.run(2000);
            expect(world.counts.toTrial, "sent after its return").to.equal(toTrial);
        });

        it("send nothing more than new requests allow after all boxes lost their memory [P23]", async () => {
            world.boxes.forEach(({ index }) => world.restart(index));
            await expectRolledBack();
        });
    });

    it("take no decision from a box that has just started, or does not decide by what it knows itself", () => {
        world.restart(0);
        world.run(1000);
        expect(world.order().state).to.equal(undefined);
        takeOver(4);
        world.boxes[4].decider = 1;
        world.run(3000);
        expect(world.counts.toTrial).to.equal(0);
    });
});
