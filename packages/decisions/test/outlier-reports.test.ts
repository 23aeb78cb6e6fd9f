import { backendServerId, boxId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createOutlierReports } from "../src/index.js";

const self = boxId("box-1");
const server = backendServerId("s-1");
const at = milliseconds(10_000);

function report(origin: string, severity: number, reportedAt = at) {
    return { server, origin: boxId(origin), severity, at: reportedAt };
}

describe("outlier reports", () => {
    it("need more than one other box [P7]", () => {
        const outlierReports = createOutlierReports(self);
        outlierReports.onReport(report("box-2", 5), at);
        expect(outlierReports.severity(server, 0, at)).to.equal(0);
    });

    it("count with the lower severity of two other boxes [P7]", () => {
        const outlierReports = createOutlierReports(self);
        outlierReports.onReport(report("box-2", 5), at);
        outlierReports.onReport(report("box-3", 2), at);
        expect(outlierReports.severity(server, 0, at)).to.equal(2);
    });

    it("count with the box's own view as one of the two", () => {
        const outlierReports = createOutlierReports(self);
        outlierReports.onReport(report("box-2", 5), at);
        expect(outlierReports.severity(server, 0.7, at)).to.equal(0.7);
    });

    it("count once if one box sends two", () => {
        const outlierReports = createOutlierReports(self);
        outlierReports.onReport(report("box-2", 5), at);
        outlierReports.onReport(report("box-2", 4), milliseconds(at + 300));
        expect(outlierReports.severity(server, 0, milliseconds(at + 300))).to.equal(0);
    });

    it("are ignored if the box itself is the origin", () => {
        const outlierReports = createOutlierReports(self);
        outlierReports.onReport(report("box-1", 5), at);
        outlierReports.onReport(report("box-2", 5), at);
        expect(outlierReports.severity(server, 0, at)).to.equal(0);
    });

    it("expire within seconds", () => {
        const outlierReports = createOutlierReports(self);
        outlierReports.onReport(report("box-2", 5), at);
        outlierReports.onReport(report("box-3", 5), at);
        expect(outlierReports.severity(server, 0, milliseconds(at + 3000))).to.equal(0);
        expect(outlierReports.reports(milliseconds(at + 3000))).to.deep.equal([]);
    });

    it("are passed on from the two boxes with the latest ones", () => {
        const outlierReports = createOutlierReports(self);
        outlierReports.onReport(report("box-2", 5), at);
        outlierReports.onReport(report("box-3", 4, milliseconds(at + 300)), milliseconds(at + 300));
        outlierReports.onReport(report("box-4", 3, milliseconds(at + 600)), milliseconds(at + 600));
        const origins = outlierReports.reports(milliseconds(at + 600)).map(({ origin }) => origin);
        expect(origins).to.have.members([boxId("box-3"), boxId("box-4")]);
    });
});
