/**
 * Guards against requests that reach servers although their callers have left while boxes were paused, in fleets of
 * different sizes and beside other faults (emulated).
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { pedala } from "../src/emulator/deployments.js";
import { type EmulatedFault, type EmulatedFirstAttempt, runEmulation } from "../src/emulator/emulation.js";
import { scaleDeployment } from "./scaled-deployment.js";

/** Milliseconds after a caller has left in which an attempt may still reach a server; from the users' rules. */
const lateAfter = 500;
const duration = milliseconds(12_000);
/** Simulated milliseconds from which all boxes run again. */
const runningFrom = 8000;
/** Pauses that overlap each other and all other faults. */
const faults: readonly EmulatedFault[] = [
    { kind: "pausedBoxes", at: 2000, duration: 2500, share: 0.4 },
    { kind: "slowServers", at: 2200, duration: 3000, share: 0.3, factor: 4 },
    { kind: "pausedBoxes", at: 3500, duration: 2500, share: 0.4 },
    { kind: "burst", at: 3000, duration: 2000, factor: 2 },
    { kind: "partition", at: 3000, duration: 3000, share: 0.2 },
    { kind: "lostServers", at: 4000, share: 0.1 },
    { kind: "pausedBoxes", at: 6200, duration: 1800, share: 0.6 },
];

describe("callers that leave while boxes are paused, emulated [P12]", () => {
    /** What an emulation shows of callers that left and of those that stayed. */
    function run(factor: number, load: number, seed: number, readsBeforeSending = true) {
        const attempts: EmulatedFirstAttempt[] = [];
        let late = 0;
        runEmulation({
            deployment: scaleDeployment(pedala, factor),
            policy: "affinity",
            seed,
            duration,
            load,
            lookupScope: "zone",
            faults,
            readsBeforeSending,
            onFirstAttemptEnded: attempt => attempts.push(attempt),
            onReached: leftFor => {
                late += (leftFor ?? 0) > lateAfter ? 1 : 0;
            },
        });
        const afterwards = attempts.filter(({ startedAt }) => startedAt >= runningFrom);
        const served = afterwards.filter(({ outcome }) => outcome === "answered");
        return {
            late,
            left: attempts.filter(({ outcome }) => outcome === "callerLeft").length,
            servedShare: served.length / afterwards.length,
        };
    }

    for (const { boxes, factor, load } of [{ boxes: 9, factor: 1, load: 1 }, { boxes: 198, factor: 22, load: 2 }]) {
        it(`cause no attempt at a server from ${boxes} boxes, and those that stay are served`, () => {
            const [reading, acting] = [true, false].map(reads => run(factor, load, 11, reads));
            expect(reading.left, "callers that left").to.be.greaterThan(20);
            expect(reading.late).to.equal(0);
            expect(acting.late, "from boxes that act on what they have read first").to.be.greaterThan(0);
            expect(reading.servedShare).to.be.at.least(acting.servedShare * 0.98);
        });
    }

    it("cause no attempt at a server with other seeds", () => {
        for (let seed = 1; seed <= 10; seed++) {
            expect(run(1, 1, seed).late, `seed ${seed}`).to.equal(0);
        }
    });
});
