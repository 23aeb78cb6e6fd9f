import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { kodeyard, pedala } from "../src/emulator/deployments.js";
import { runEmulation } from "../src/emulator/emulation.js";
import type { PolicyName } from "../src/emulator/policies.js";
import { compareWithGolden } from "../src/golden/golden-file.js";

const day = { deployment: pedala, policy: "affinity", seed: 7, duration: milliseconds(8000), load: 1 } as const;

describe("the emulator", () => {
    it("plays a calm moment as in the golden session", () => {
        const lines: string[] = [];
        runEmulation({
            ...day,
            deployment: kodeyard,
            duration: milliseconds(2500),
            onDecision: line => lines.push(line),
        });
        compareWithGolden("calm-day", lines);
    });

    it("gives the same day for the same seed", () => {
        expect(runEmulation(day)).to.deep.equal(runEmulation(day));
        expect(runEmulation({ ...day, seed: 8 })).not.to.deep.equal(runEmulation(day));
    });

    describe("the region in which the requests of one region run", () => {
        const mostMoved = 0.15;
        const burst = [{ kind: "burst", at: 14_000, lasts: 4000, factor: 1.5 }] as const;
        const movedBy = (policy: PolicyName) => {
            const lines: string[] = [];
            const length = milliseconds(32_000);
            runEmulation({
                ...day,
                policy,
                seed: 3,
                duration: length,
                faults: burst,
                onDecision: line => lines.push(line),
            });
            return mostMovedBetweenWindows(lines, pedala.zones);
        };

        it("changes for few of them while load rises and falls [P1]", () => {
            expect(movedBy("affinity")).to.be.lessThan(mostMoved);
        });

        it("would change for more if servers were chosen by load alone", () => {
            expect(movedBy("candidate-set")).to.be.greaterThan(mostMoved);
        });
    });

    describe("a load beyond what the servers bear with ease", () => {
        const mostTurnedAway = 0.02;

        it("brings few requests to servers that have no room for them [P2]", () => {
            const { turnedAwayShare } = runEmulation({ ...day, load: 1.3, duration: milliseconds(12_000) });
            expect(turnedAwayShare).to.be.greaterThan(0).and.lessThan(mostTurnedAway);
        });
    });

    describe("affinity with bounded load", () => {
        for (const deployment of [pedala, kodeyard]) {
            it(`earns more than power of two choices and the candidate set (${deployment.name})`, () => {
                const own = runEmulation({ ...day, deployment });
                for (const policy of ["two-choices", "candidate-set"] as const) {
                    expect(own.worth).to.be.greaterThan(runEmulation({ ...day, deployment, policy }).worth + 0.1);
                }
            });
        }

        it("earns more than plain rendezvous while servers are slow", () => {
            const troubles = [{ kind: "slowServers", at: 3000, lasts: 5000, share: 0.2, factor: 5 }] as const;
            const own = runEmulation({ ...day, faults: troubles });
            expect(own.worth).to.be.greaterThan(runEmulation({ ...day, faults: troubles, policy: "rendezvous" }).worth);
        });

        it("earns more than plain rendezvous while servers are slow, over ten days", () => {
            const troubles = [{ kind: "slowServers", at: 3000, lasts: 5000, share: 0.2, factor: 5 }] as const;
            const worthOf = (policy: PolicyName) =>
                Array.from(
                    { length: 10 },
                    (_, seed) => runEmulation({ ...day, faults: troubles, policy, seed: seed + 1 }).worth,
                )
                    .reduce((sum, worth) => sum + worth, 0);
            expect(worthOf("affinity")).to.be.greaterThan(worthOf("rendezvous"));
        });

        it("sends nothing to a closed zone, and goes on [P16]", () => {
            const lines: string[] = [];
            const troubles = [{ kind: "closedZone", at: 2000, lasts: 6000, zone: "ro-nord-a" }] as const;
            runEmulation({ ...day, faults: troubles, onDecision: line => lines.push(line) });
            const late = lines.filter(line => Number(line.split(" ")[0]) >= 2000);
            expect(late.filter(line => line.includes("-ro-nord-a-") && / to \S*ro-nord-a-/.test(line))).to.deep.equal(
                [],
            );
            expect(late.length).to.be.greaterThan(1000);
        });
    });
});

const decision = /^(\S+) box-(\S+)-\d+ \S+ \S+ to [a-z]+-[a-z]+-(\S+)-\d+ /;
const windowLength = 2000;

/** Returns the greatest part of one region's requests that ran in another region than in the window before. */
function mostMovedBetweenWindows(lines: readonly string[], zones: Readonly<Record<string, string>>): number {
    const counts = new Map<string, Map<string, number>>();
    for (const line of lines) {
        const match = decision.exec(line);
        if (match !== null) {
            const key = `${Math.floor(Number(match[1]) / windowLength)} ${zones[match[2]]}`;
            const byRegion = counts.get(key) ?? new Map<string, number>();
            byRegion.set(zones[match[3]], (byRegion.get(zones[match[3]]) ?? 0) + 1);
            counts.set(key, byRegion);
        }
    }
    let most = 0;
    for (const [key, now] of counts) {
        const [window, region] = key.split(" ");
        const before = counts.get(`${Number(window) - 1} ${region}`);
        if (before !== undefined) {
            most = Math.max(most, movedPart(before, now));
        }
    }
    return most;
}

function movedPart(before: ReadonlyMap<string, number>, now: ReadonlyMap<string, number>): number {
    const total = (counts: ReadonlyMap<string, number>) => [...counts.values()].reduce((sum, count) => sum + count, 0);
    const regions = new Set([...before.keys(), ...now.keys()]);
    const changes = [...regions].map(region =>
        Math.abs((now.get(region) ?? 0) / total(now) - (before.get(region) ?? 0) / total(before))
    );
    return changes.reduce((sum, change) => sum + change, 0) / 2;
}
