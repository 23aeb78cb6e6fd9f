/**
 * Evidence as what has changed, over messages that are lost or overtaken.
 */

import type { EvidenceCell, RolloutReport } from "@chalkdale/decisions";
import { boxId, incarnationId, milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import { createChangedCellSelector, createReportAssembler } from "../src/rollouts/report-deltas.js";

const [decider, other, sender] = ["b-1", "b-2", "b-3"].map(boxId);

/** Counts of one box after so many answers, one after the other in each of 16 cells. */
const cellsAfter = (answers: number): EvidenceCell[] =>
    Array.from({ length: 16 }, (_, index) => ({
        isTrial: index >= 8,
        group: index % 8,
        route: 5,
        answers: Math.floor((answers + index) / 16),
        failures: 0,
        slownessSum: 0.5 * Math.floor((answers + index) / 16),
    }));

const reportOf = (cells: readonly EvidenceCell[], incarnation = "1"): RolloutReport => ({
    rollout: { service: serviceId("profiles"), targetVersion: serverVersion("v2"), createdAt: 3 },
    incarnation: incarnationId(incarnation),
    sent: 1,
    sentToTrial: 1,
    inProgressOnOtherVersions: 0,
    cap: 1,
    knownGrantedTotal: undefined,
    age: milliseconds(1),
    cells,
});

describe("evidence of which only changes are told", () => {
    it("is told twice, whole at first, now and then, and to a box that was not told before", () => {
        const pick = createChangedCellSelector();
        expect(pick(cellsAfter(0), decider)).to.have.length(16);
        pick(cellsAfter(0), decider);
        expect([pick(cellsAfter(1), decider).length, pick(cellsAfter(1), decider).length]).to.deep.equal([1, 1]);
        expect(pick(cellsAfter(1), decider)).to.have.length(0);
        expect(pick(cellsAfter(1), other)).to.have.length(16);
        const lengths = Array.from({ length: 10 }, () => pick(cellsAfter(1), other).length);
        expect(lengths.filter(length => length === 16)).to.have.length(1);
    });

    it("is whole again where it arrives, some reports after the last that was lost or overtaken", () => {
        fc.assert(fc.property(fc.array(fc.constantFrom("lost", "arrives", "late"), { maxLength: 40 }), fates => {
            const pick = createChangedCellSelector();
            const { complete } = createReportAssembler();
            const late: RolloutReport[] = [];
            const deliver = (report: RolloutReport) => complete(sender, report).cells;
            const send = (answers: number, fate: string) => {
                const report = reportOf(pick(cellsAfter(answers), decider));
                if (fate === "late") {
                    late.push(report);
                }
                return fate === "arrives" ? deliver(report) : [];
            };
            fates.forEach((fate, index) => send(7 * index, fate));
            late.forEach(deliver);
            const sum = (cells: readonly EvidenceCell[]) => cells.reduce((total, { answers }) => total + answers, 0);
            const told = Array.from({ length: 10 }, () => sum(send(7 * fates.length, "arrives"))).at(-1);
            expect(told).to.equal(sum(cellsAfter(7 * fates.length)));
        }));
    });

    it("begins anew with a new life of the box", () => {
        const { complete } = createReportAssembler();
        complete(sender, reportOf(cellsAfter(160)));
        expect(complete(sender, reportOf(cellsAfter(16).slice(0, 2), "2")).cells).to.have.length(2);
    });
});
