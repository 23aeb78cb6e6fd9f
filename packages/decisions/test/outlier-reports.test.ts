import { backendServerId, boxId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createOutlierReports } from "../src/index.js";

const self = boxId("box-1");
const server = backendServerId("s-1");
const at = milliseconds(10_000);

function report(origin: string, severity: number, reportedAt = at) {
    return { server, origin: boxId(origin), severity, at: reportedAt };
}

describe("shared evidence", () => {
    it("takes nothing from one other box alone [P7]", () => {
        const evidence = createOutlierReports(self);
        evidence.onReport(report("box-2", 5), at);
        expect(evidence.severity(server, 0, at)).to.equal(0);
    });

    it("goes by the lower view of two other boxes [P7]", () => {
        const evidence = createOutlierReports(self);
        evidence.onReport(report("box-2", 5), at);
        evidence.onReport(report("box-3", 2), at);
        expect(evidence.severity(server, 0, at)).to.equal(2);
    });

    it("counts the own view as one of the two", () => {
        const evidence = createOutlierReports(self);
        evidence.onReport(report("box-2", 5), at);
        expect(evidence.severity(server, 0.7, at)).to.equal(0.7);
    });

    it("does not take two reports of one box for two boxes", () => {
        const evidence = createOutlierReports(self);
        evidence.onReport(report("box-2", 5), at);
        evidence.onReport(report("box-2", 4), milliseconds(at + 300));
        expect(evidence.severity(server, 0, milliseconds(at + 300))).to.equal(0);
    });

    it("does not hear itself", () => {
        const evidence = createOutlierReports(self);
        evidence.onReport(report("box-1", 5), at);
        evidence.onReport(report("box-2", 5), at);
        expect(evidence.severity(server, 0, at)).to.equal(0);
    });

    it("forgets within seconds", () => {
        const evidence = createOutlierReports(self);
        evidence.onReport(report("box-2", 5), at);
        evidence.onReport(report("box-3", 5), at);
        expect(evidence.severity(server, 0, milliseconds(at + 3000))).to.equal(0);
        expect(evidence.reports(milliseconds(at + 3000))).to.deep.equal([]);
    });

    it("passes on the latest reports of two boxes", () => {
        const evidence = createOutlierReports(self);
        evidence.onReport(report("box-2", 5), at);
        evidence.onReport(report("box-3", 4, milliseconds(at + 300)), milliseconds(at + 300));
        evidence.onReport(report("box-4", 3, milliseconds(at + 600)), milliseconds(at + 600));
        const origins = evidence.reports(milliseconds(at + 600)).map(({ origin }) => origin);
        expect(origins).to.have.members([boxId("box-3"), boxId("box-4")]);
    });
});
