/**
 * Roll-outs on several boxes while boxes, links and the store fail during the trial.
 */

import type { RolloutOrder } from "@chalkdale/decisions";
import { serverVersion } from "@chalkdale/kernel";
import { expect } from "chai";
import { bounds, type RolloutBoxes, service, startRolloutBoxes } from "./rollout-boxes.js";

const boxCount = 6;
const duration = 20_000;

describe("roll-outs on several boxes", () => {
    let emulation: RolloutBoxes;

    beforeEach(() => {
        emulation = startRolloutBoxes(boxCount, 300, duration);
    });

    const expectWithinBounds = () => {
        const { counts: { all, toTrial }, times: { fiftiethFailure, lastToTrial } } = emulation;
        expect(toTrial).to.be.at.most(bounds.exposedShare * all + bounds.exposedAllowance);
        expect(lastToTrial - fiftiethFailure).to.be.at.most(bounds.rollbackTime);
    };
    const expectOneOutcome = (...states: string[]) => expect(emulation.written).to.deep.equal(states);
    const runUntilSentToTrial = (count: number) => {
        for (let rounds = 0; rounds < 100 && emulation.counts.toTrial < count; rounds++) {
            emulation.run(100);
        }
        expect(emulation.counts.toTrial).to.be.at.least(count);
    };
    /** Makes all boxes select another deciding box. */
    const changeDecidingBox = (index: number) => emulation.boxes.forEach(box => box.decidingBox = index);
    const startTrial = () => emulation.runUntil("running", 3000);

    it("send nothing to the trial version before the store has `running` [P23]", async () => {
        emulation.boxes.forEach(box => box.reachesStore = false);
        await emulation.runUntil("running", 5000);
        expect([emulation.counts.toTrial, emulation.order().state]).to.deep.equal([0, undefined]);
        emulation.boxes.forEach(box => box.reachesStore = true);
        expect(await startTrial()).to.equal(true);
        runUntilSentToTrial(5);
    });

    it("complete a good version once all requests have moved to it [P24]", async () => {
        expect(await emulation.runUntil("completed", duration)).to.equal(true);
        expectOneOutcome("running", "completed");
        emulation.run(200);
        const { all, toTrial } = emulation.counts;
        emulation.run(1000);
        expect(emulation.counts.all - all).to.equal(emulation.counts.toTrial - toTrial);
    });

    it("complete a good version although the store serves other boxes but not the deciding box [P24]", async () => {
        emulation.boxes[0].reachesStore = false;
        expect(await emulation.runUntil("completed", duration)).to.equal(true);
        expectOneOutcome("running", "completed");
    });

    it("are applied by a box without requests, although another order follows at once [P25]", () => {
        const { rollouts } = startRolloutBoxes(1, 0, duration).boxes[0];
        const order = emulation.order();
        rollouts.onOrders([{ ...order, state: "running", revision: 10 }]);
        rollouts.onOrders([{ ...order, state: "completed", revision: 11 }]);
        rollouts.onOrders([{ ...order, targetVersion: serverVersion("v3"), revision: 12 }]);
        expect(rollouts.versions.provenVersion(service)).to.equal("v2");
    });

    describe("whose states were lost when the store was restored from an older copy", () => {
        const failedVersion = async () => {
            await startTrial();
            runUntilSentToTrial(20);
            emulation.failureShare = 0.5;
            expect(await emulation.runUntil("rolledBack", duration)).to.equal(true);
            emulation.run(1000);
        };

        it("send no requests to a failed version, and write its outcome again [P24]", async () => {
            await failedVersion();
            const { toTrial } = emulation.counts;
            emulation.restoreStore({ state: "running" });
            expect(await emulation.runUntil("rolledBack", 3000)).to.equal(true);
            emulation.run(2000);
            expect(emulation.counts.toTrial).to.equal(toTrial);
            expectOneOutcome("running", "rolledBack", "rolledBack");
        });

        it("send it no requests although the order seems new and another box decides by then [P24]", async () => {
            await failedVersion();
            const { toTrial } = emulation.counts;
            changeDecidingBox(2);
            emulation.restoreStore({ state: undefined });
            expect(await emulation.runUntil("rolledBack", 3000)).to.equal(true);
            expect(emulation.counts.toTrial).to.equal(toTrial);
        });

        it("keep sending all requests to a completed version, and write its outcome again [P24]", async () => {
            expect(await emulation.runUntil("completed", duration)).to.equal(true);
            emulation.run(1000);
            emulation.restoreStore({ state: "running" });
            const { all, toTrial } = emulation.counts;
            expect(await emulation.runUntil("completed", 3000)).to.equal(true);
            emulation.run(1000);
            expect(emulation.counts.all - all).to.equal(emulation.counts.toTrial - toTrial);
            expectOneOutcome("running", "completed", "completed");
        });

        it("are decided in time although the order is a new object and the deciding box restarted [P25]", async () => {
            const orderedAt = emulation.now();
            await startTrial();
            runUntilSentToTrial(20);
            emulation.run(4000);
            emulation.restoreStore({ state: undefined, createdAt: 77 });
            emulation.restart(0);
            expect(await emulation.runUntil("completed", orderedAt + duration - emulation.now())).to.equal(true);
        });

        /**
         * Restores the store five times, each time after further requests to the trial version, and changes the
         * deciding box.
         */
        const restoreRepeatedly = async (older: (round: number) => Partial<RolloutOrder>) => {
            await startTrial();
            for (let round = 1; round <= 5; round++) {
                runUntilSentToTrial(emulation.counts.toTrial + 15);
                changeDecidingBox(round);
                emulation.restoreStore(older(round));
                expect(await startTrial()).to.equal(true);
            }
            const { all, toTrial } = emulation.counts;
            expect(toTrial).to.be.at.most(bounds.exposedShare * all + bounds.exposedAllowance);
        };

        it("keep the granted total whichever box decides then [P23]", () =>
            restoreRepeatedly(() => ({ state: undefined })));

        it("keep the granted total when the order is lost and written again as a new object [P23]", () =>
            restoreRepeatedly(round => ({ state: undefined, createdAt: 70 + round })));
    });

    describe("of a version that fails", () => {
        beforeEach(async () => {
            await startTrial();
            runUntilSentToTrial(20);
            emulation.failureShare = 0.5;
        });

        const expectRolledBack = async () => {
            expect(await emulation.runUntil("rolledBack", duration)).to.equal(true);
            expectOneOutcome("running", "rolledBack");
            emulation.run(1000);
            expectWithinBounds();
        };

        it("roll it back [P23] [P24] [P25]", expectRolledBack);

        it("roll it back although the deciding box freezes and another one takes over [P23] [P24] [P25]", async () => {
            emulation.boxes[0].isFrozen = true;
            emulation.run(2000);
            changeDecidingBox(3);
            await expectRolledBack();
            emulation.boxes[0].isFrozen = false;
            emulation.run(2000);
            expectWithinBounds();
        });

        it("roll it back although the deciding box is lost with all its state [P23] [P24] [P25]", async () => {
            emulation.restart(0);
            changeDecidingBox(4);
            await expectRolledBack();
        });

        it("roll it back while two boxes decide at once [P23] [P24] [P25]", async () => {
            emulation.boxes.slice(3).forEach(box => box.decidingBox = 3);
            await expectRolledBack();
        });

        it("stop a box that is cut off from the others, by its cap and its own evidence [P23]", async () => {
            const cutOff = emulation.boxes[5];
            cutOff.isCutOff = true;
            cutOff.reachesStore = false;
            emulation.run(3000);
            const report = cutOff.rollouts.summaries()[0].report!;
            expect(report.sentToTrial).to.be.at.most(report.cap);
            await expectRolledBack();
        });

        it("stop on the decision at once while the store is down, and write it later [P24] [P25]", async () => {
            emulation.boxes.forEach(box => box.reachesStore = false);
            await emulation.runUntil("rolledBack", 6000);
            expect(emulation.order().state).to.equal("running");
            const { toTrial } = emulation.counts;
            await emulation.runUntil("rolledBack", 2000);
            expect(emulation.counts.toTrial, "sent after the decision").to.equal(toTrial);
            emulation.boxes.forEach(box => box.reachesStore = true);
            await expectRolledBack();
        });

        it("write the decision although the deciding box is lost and no box reports any more [P24]", async () => {
            emulation.boxes.forEach(box => box.reachesStore = false);
            await emulation.runUntil("rolledBack", 6000);
            emulation.boxes[0].isFrozen = true;
            changeDecidingBox(3);
            emulation.boxes.forEach(box => box.reachesStore = true);
            expect(await emulation.runUntil("rolledBack", 2000)).to.equal(true);
            expectOneOutcome("running", "rolledBack");
        });

        it("stop a box that gets no more grants by the announced decision alone [P25]", async () => {
            const other = emulation.boxes[5];
            other.decidingBox = 4;
            emulation.boxes[4].isFrozen = true;
            other.reachesStore = false;
            other.receivesCopies = false;
            expect(await emulation.runUntil("rolledBack", duration)).to.equal(true);
            emulation.run(100);
            expect(other.rollouts.trialHooks.of(service)?.traffic.decision()).to.equal("rolledBack");
        });

        it("stop a box that missed the announced decision when it reports [P25]", async () => {
            const late = emulation.boxes[5];
            await emulation.runUntil("rolledBack", duration);
            late.isCutOff = true;
            late.reachesStore = false;
            emulation.run(1000);
            late.isCutOff = false;
            emulation.run(1000);
            expect(late.rollouts.trialHooks.of(service)?.traffic.share()).to.equal(0);
        });

        it("start no trial on a box that was cut off with the store down, whoever decides [P23] [P25]", async () => {
            const late = emulation.boxes[5];
            emulation.boxes.forEach(box => box.reachesStore = false);
            late.isCutOff = true;
            await emulation.runUntil("rolledBack", 8000);
            expect(emulation.boxes[3].rollouts.trialHooks.of(service)?.traffic.decision()).to.equal("rolledBack");
            changeDecidingBox(3);
            late.isCutOff = false;
            emulation.run(3000);
            expect(late.rollouts.trialHooks.of(service)?.traffic.decision()).to.equal("rolledBack");
            const { toTrial } = emulation.counts;
            emulation.run(2000);
            expect(emulation.counts.toTrial, "sent after its return").to.equal(toTrial);
        });

        it("send no more than new requests allow after all boxes have lost their state [P23]", async () => {
            emulation.boxes.forEach(({ index }) => emulation.restart(index));
            await expectRolledBack();
        });
    });

    it("are not decided by a box that has just started, or that does not take itself for the deciding box", () => {
        emulation.restart(0);
        emulation.run(1000);
        expect(emulation.order().state).to.equal(undefined);
        changeDecidingBox(4);
        emulation.boxes[4].decidingBox = 1;
        emulation.run(3000);
        expect(emulation.counts.toTrial).to.equal(0);
    });
});
