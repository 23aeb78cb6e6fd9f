/**
 * Reports that contain only changed cells, over messages that are lost or arrive out
 * of order.
 */

import type { EvidenceCell, RolloutReport } from "@chalkdale/decisions";
import { boxId, incarnationId, milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import { createChangedCellSelector, createReportAssembler } from "../src/rollouts/report-deltas.js";

const [decider, other, sender] = ["b-1", "b-2", "b-3"].map(boxId);

/** Returns the cells of one box after a number of answers, counted in 16 cells in turn. */
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

describe("evidence of which only changed cells are sent", () => {
    it("is sent twice after a change, and in full at first, at intervals, and to a new recipient", () => {
        const selectChangedCells = createChangedCellSelector();
        expect(selectChangedCells(cellsAfter(0), decider)).to.have.length(16);
        selectChangedCells(cellsAfter(0), decider);
        expect([selectChangedCells(cellsAfter(1), decider).length, selectChangedCells(cellsAfter(1), decider).length])
            .to.deep.equal([1, 1]);
        expect(selectChangedCells(cellsAfter(1), decider)).to.have.length(0);
        expect(selectChangedCells(cellsAfter(1), other)).to.have.length(16);
        const lengths = Array.from({ length: 10 }, () => selectChangedCells(cellsAfter(1), other).length);
        expect(lengths.filter(length => length === 16)).to.have.length(1);
    });

    it("is complete at the recipient some reports after the last one that was lost or late", () => {
        fc.assert(fc.property(fc.array(fc.constantFrom("lost", "arrives", "late"), { maxLength: 40 }), fates => {
            const selectChangedCells = createChangedCellSelector();
            const { complete } = createReportAssembler();
            const late: RolloutReport[] = [];
            const deliver = (report: RolloutReport) => complete(sender, report).cells;
            const send = (answers: number, fate: string) => {
                const report = reportOf(selectChangedCells(cellsAfter(answers), decider));
                if (fate === "late") {
                    late.push(report);
                }
                return fate === "arrives" ? deliver(report) : [];
            };
            fates.forEach((fate, index) => send(7 * index, fate));
            late.forEach(deliver);
            const sum = (cells: readonly EvidenceCell[]) => cells.reduce((total, { answers }) => total + answers, 0);
            const received = Array.from({ length: 10 }, () => sum(send(7 * fates.length, "arrives"))).at(-1);
            expect(received).to.equal(sum(cellsAfter(7 * fates.length)));
        }));
    });

    it("starts empty for a new incarnation of the box", () => {
        const { complete } = createReportAssembler();
        complete(sender, reportOf(cellsAfter(160)));
        expect(complete(sender, reportOf(cellsAfter(16).slice(0, 2), "2")).cells).to.have.length(2);
    });
});
