/**
 * Checks that emulations are deterministic and match the golden file, and compares the policy of the boxes with others.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { kodeyard, pedala } from "../src/emulator/deployments.js";
import { runEmulation } from "../src/emulator/emulation.js";
import type { PolicyName } from "../src/emulator/policies.js";
import { compareWithGolden } from "../src/golden/golden-file.js";

const baseOptions = { deployment: pedala, policy: "affinity", seed: 7, duration: milliseconds(8000), load: 1 } as const;

describe("the emulator", () => {
    it("makes the decisions of the golden file in a calm period", () => {
        const lines: string[] = [];
        runEmulation({
            ...baseOptions,
            deployment: kodeyard,
            duration: milliseconds(2500),
            onDecision: line => lines.push(line),
        });
        compareWithGolden("calm-day", lines);
    });

    it("gives the same result for the same seed", () => {
        expect(runEmulation(baseOptions)).to.deep.equal(runEmulation(baseOptions));
        expect(runEmulation({ ...baseOptions, seed: 8 })).not.to.deep.equal(runEmulation(baseOptions));
    });

    describe("the distribution of one region's requests over the regions in which they run", () => {
        const maxMovedFraction = 0.15;
        const burst = [{ kind: "burst", at: 14_000, duration: 4000, factor: 1.5 }] as const;
        const movedFractionOf = (policy: PolicyName) => {
            const lines: string[] = [];
            const duration = milliseconds(32_000);
            runEmulation({
                ...baseOptions,
                policy,
                seed: 3,
                duration,
                faults: burst,
                onDecision: line => lines.push(line),
            });
            return maxMovedFractionBetweenWindows(lines, pedala.zones);
        };

        it("changes for few requests while load rises and falls [P1]", () => {
            expect(movedFractionOf("affinity")).to.be.lessThan(maxMovedFraction);
        });

        it("changes for more requests if servers are chosen by load alone", () => {
            expect(movedFractionOf("candidate-set")).to.be.greaterThan(maxMovedFraction);
        });
    });

    describe("a load of 1.3 times the usual rates", () => {
        const maxRejectedShare = 0.02;

        it("sends few requests to servers without a free slot or place in the queue [P2]", () => {
            const { rejectedShare: turnedAwayShare } = runEmulation({
                ...baseOptions,
                load: 1.3,
                duration: milliseconds(12_000),
            });
            expect(turnedAwayShare).to.be.greaterThan(0).and.lessThan(maxRejectedShare);
        });
    });

    describe("affinity with bounded load", () => {
        for (const deployment of [pedala, kodeyard]) {
            it(`earns more than power of two choices and the candidate set (${deployment.name})`, () => {
                const affinity = runEmulation({ ...baseOptions, deployment });
                for (const policy of ["two-choices", "candidate-set"] as const) {
                    expect(affinity.worth).to.be.greaterThan(
                        runEmulation({ ...baseOptions, deployment, policy }).worth + 0.1,
                    );
                }
            });
        }

        it("earns more than plain rendezvous while servers are slow", () => {
            const faults = [{ kind: "slowServers", at: 3000, duration: 5000, share: 0.2, factor: 5 }] as const;
            const affinity = runEmulation({ ...baseOptions, faults });
            expect(affinity.worth).to.be.greaterThan(
                runEmulation({ ...baseOptions, faults, policy: "rendezvous" }).worth,
            );
        });

        it("earns more than plain rendezvous while servers are slow, over ten days", () => {
            const faults = [{ kind: "slowServers", at: 3000, duration: 5000, share: 0.2, factor: 5 }] as const;
            const worthOf = (policy: PolicyName) =>
                Array.from(
                    { length: 10 },
                    (_, seed) => runEmulation({ ...baseOptions, faults, policy, seed: seed + 1 }).worth,
                )
                    .reduce((sum, worth) => sum + worth, 0);
            expect(worthOf("affinity")).to.be.greaterThan(worthOf("rendezvous"));
        });

        it("sends no request to servers of a closed zone, and still serves requests [P16]", () => {
            const lines: string[] = [];
            const faults = [{ kind: "closedZone", at: 2000, duration: 6000, zone: "ro-nord-a" }] as const;
            runEmulation({ ...baseOptions, faults, onDecision: line => lines.push(line) });
            const afterClosing = lines.filter(line => Number(line.split(" ")[0]) >= 2000);
            expect(afterClosing.filter(line => line.includes("-ro-nord-a-") && / to \S*ro-nord-a-/.test(line))).to.deep
                .equal(
                    [],
                );
            expect(afterClosing.length).to.be.greaterThan(1000);
        });
    });
});

/** A decision for a server: time, zone of the box, zone of the server. */
const decisionPattern = /^(\S+) box-(\S+)-\d+ \S+ \S+ to [a-z]+-[a-z]+-(\S+)-\d+ /;
/** Milliseconds of the windows whose distributions are compared. */
const windowLength = 2000;

/** Returns the largest fraction of one region's requests that moved to other regions between consecutive windows. */
function maxMovedFractionBetweenWindows(lines: readonly string[], zones: Readonly<Record<string, string>>): number {
    const counts = new Map<string, Map<string, number>>();
    for (const line of lines) {
        const match = decisionPattern.exec(line);
        if (match !== null) {
            const key = `${Math.floor(Number(match[1]) / windowLength)} ${zones[match[2]]}`;
            const byRegion = counts.get(key) ?? new Map<string, number>();
            byRegion.set(zones[match[3]], (byRegion.get(zones[match[3]]) ?? 0) + 1);
            counts.set(key, byRegion);
        }
    }
    let maxFraction = 0;
    for (const [key, now] of counts) {
        const [window, region] = key.split(" ");
        const before = counts.get(`${Number(window) - 1} ${region}`);
        if (before !== undefined) {
            maxFraction = Math.max(maxFraction, movedFraction(before, now));
        }
    }
    return maxFraction;
}

/** Half of the sum of the absolute differences between the two distributions. */
function movedFraction(before: ReadonlyMap<string, number>, now: ReadonlyMap<string, number>): number {
    const total = (counts: ReadonlyMap<string, number>) => [...counts.values()].reduce((sum, count) => sum + count, 0);
    const regions = new Set([...before.keys(), ...now.keys()]);
    const changes = [...regions].map(region =>
        Math.abs((now.get(region) ?? 0) / total(now) - (before.get(region) ?? 0) / total(before))
    );
    return changes.reduce((sum, change) => sum + change, 0) / 2;
}
