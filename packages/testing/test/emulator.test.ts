import { milliseconds } from "@chalkdale/core";
import { expect } from "chai";
import { playDay } from "../src/emulator/day.js";
import { kodeyard, pedala } from "../src/emulator/deployments.js";
import { compareWithGolden } from "../src/golden/golden-file.js";

const day = { deployment: pedala, policy: "affinity", seed: 7, length: milliseconds(8000), load: 1 } as const;

describe("the emulator", () => {
    it("plays a calm moment as in the golden session", () => {
        const lines: string[] = [];
        playDay({ ...day, deployment: kodeyard, length: milliseconds(2500), onDecision: line => lines.push(line) });
        compareWithGolden("calm-day", lines);
    });

    it("gives the same day for the same seed", () => {
        expect(playDay(day)).to.deep.equal(playDay(day));
        expect(playDay({ ...day, seed: 8 })).not.to.deep.equal(playDay(day));
    });

    describe("affinity with bounded load", () => {
        for (const deployment of [pedala, kodeyard]) {
            it(`earns more than power of two choices and the candidate set (${deployment.name})`, () => {
                const own = playDay({ ...day, deployment });
                for (const policy of ["two-choices", "candidate-set"] as const) {
                    expect(own.worth).to.be.greaterThan(playDay({ ...day, deployment, policy }).worth + 0.1);
                }
            });
        }

        it("earns more than plain rendezvous while servers are slow", () => {
            const troubles = [{ kind: "slowServers", at: 3000, lasts: 5000, share: 0.2, factor: 5 }] as const;
            const own = playDay({ ...day, troubles });
            expect(own.worth).to.be.greaterThan(playDay({ ...day, troubles, policy: "rendezvous" }).worth);
        });

        it("sends nothing to a closed zone, and goes on", () => {
            const lines: string[] = [];
            const troubles = [{ kind: "closedZone", at: 2000, lasts: 6000, zone: "ro-nord-a" }] as const;
            playDay({ ...day, troubles, onDecision: line => lines.push(line) });
            const late = lines.filter(line => Number(line.split(" ")[0]) >= 2000);
            expect(late.filter(line => line.includes("-ro-nord-a-") && / to \S*ro-nord-a-/.test(line))).to.deep.equal(
                [],
            );
            expect(late.length).to.be.greaterThan(1000);
        });
    });
});
