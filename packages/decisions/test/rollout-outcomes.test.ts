import { expect } from "chai";
import { type EmulatedRolloutOptions, emulateRollout, faults, versionBehaviors } from "./emulated-rollout.js";

const fleet = { duration: 30_000, servers: 24, rate: 90, boxes: 12, seed: 1 };

function runRollout(name: string, changes: Partial<EmulatedRolloutOptions> = {}) {
    return emulateRollout({ ...fleet, kind: versionBehaviors[name], fault: "none", ...changes });
}

describe("outcomes of roll-outs", function() {
    this.timeout(120_000);

    for (const fault of faults) {
        describe(`with fault ${fault}`, () => {
            for (const name of ["good", "good, cold, unknown keys"]) {
                it(`complete for a version that is ${name}, before the end`, () => {
                    const outcome = runRollout(name, { fault });
                    expect(outcome.state, outcome.reason).to.equal("completed");
                    expect(outcome.decidedAt).to.be.below(fleet.duration);
                    expect(outcome.exposure).to.be.at.most(1);
                });
            }

            const badNames = [
                "fails 10 %",
                "fails 30 %",
                "fails 100 %",
                "fails 50 % late",
                "fails 50 % under load",
                "fails 100 % on a rare route",
                "slow 3x",
                "slow 3x on one route",
            ];
            for (const name of badNames) {
                it(`roll back a version that ${name}, within the bounds on exposure`, () => {
                    const outcome = runRollout(name, { fault });
                    expect(outcome.state, outcome.reason).to.equal("rolledBack");
                    expect(outcome.decidedAt).to.be.below(fleet.duration);
                    expect(outcome.exposure).to.be.at.most(1);
                    expect(outcome.stopDelay).to.be.at.most(5000);
                });
            }
        });
    }

    it("stay within the bounds with many boxes that each have little traffic, and for short orders", () => {
        for (const name of Object.keys(versionBehaviors)) {
            const outcome = runRollout(name, { boxes: 60, duration: 12_000, seed: 2 });
            expect(outcome.exposure, name).to.be.at.most(1);
            expect(outcome.state, name).to.be.oneOf(["completed", "rolledBack"]);
        }
    });

    it("are reproducible from the same seed", () => {
        expect(runRollout("fails 30 %", { seed: 7 })).to.deep.equal(runRollout("fails 30 %", { seed: 7 }));
    });
});
