/**
 * Messages about roll-outs: encoding, size limits and validation.
 */

import type { RolloutDecision, RolloutGrant, RolloutReport } from "@chalkdale/decisions";
import { incarnationId, milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import { isRolloutMessage } from "../src/rollouts/rollout-message-validation.js";
import {
    decodeDecision,
    decodeGrant,
    decodeReport,
    decodeWriteRequest,
    encodeDecision,
    encodeGrant,
    encodeReport,
    encodeWriteRequest,
    maxReportCells,
    type RolloutMessage,
} from "../src/rollouts/rollout-messages.js";

const rollout = { service: serviceId("profiles"), targetVersion: serverVersion("v2"), createdAt: 17 };
const cell = { isTrial: true, group: 7, route: 4_000_000_000, answers: 9, failures: 2, slownessSum: -1.25 };
const report: RolloutReport = {
    rollout,
    incarnation: incarnationId("1"),
    sent: 900,
    sentToTrial: 20,
    inProgressOnOtherVersions: 3,
    cap: 25,
    knownGrantedTotal: undefined,
    age: milliseconds(1200),
    cells: [cell, { ...cell, isTrial: false }],
};
const grant: RolloutGrant = {
    rollout,
    stage: "moving",
    cap: 40,
    share: 0.125,
    sampledServerCount: 2,
    grantedTotal: 300,
    age: milliseconds(1500),
};
const decision: RolloutDecision = { rollout, decision: "rolledBack", reason: "failures 9 of 20" };

/** Returns the message as another box receives it. */
const transmit = (message: RolloutMessage) => JSON.parse(JSON.stringify(message)) as RolloutMessage;

describe("messages about roll-outs", () => {
    it("are decoded to the values that were encoded", () => {
        const received = transmit({
            report: encodeReport(report),
            grant: encodeGrant(grant),
            news: [encodeDecision(decision)],
        });
        expect(isRolloutMessage(received)).to.equal(true);
        expect(decodeReport(received.report!)).to.deep.equal(report);
        expect(decodeGrant(received.grant!)).to.deep.equal(grant);
        expect(received.news!.map(decodeDecision)).to.deep.equal([decision]);
        const writeRequest = transmit({ wanted: encodeWriteRequest(rollout, "completed") });
        expect(isRolloutMessage(writeRequest)).to.equal(true);
        expect(decodeWriteRequest(writeRequest.wanted!)).to.deep.equal({ rollout, state: "completed" });
        const later = { ...report, knownGrantedTotal: 0 };
        expect(decodeReport(transmit({ report: encodeReport(later) }).report!)).to.deep.equal(later);
    });

    it("leave room for the sender's record in a datagram, with the most cells and the longest reason too", () => {
        const cells = Array.from(
            { length: maxReportCells + 20 },
            (_, answers) => ({ ...cell, answers: 100_000 + answers }),
        );
        const entry = encodeReport({ ...report, cells });
        expect(JSON.stringify(transmit({ report: entry })).length).to.be.lessThan(7000);
        expect(isRolloutMessage(transmit({ report: entry }))).to.equal(true);
        expect(Math.min(...decodeReport(entry).cells.map(({ answers }) => answers))).to.equal(100_020);
        const decisionMessage = transmit({ news: [encodeDecision({ ...decision, reason: "x".repeat(9000) })] });
        expect(isRolloutMessage(decisionMessage)).to.equal(true);
        expect(JSON.stringify(decisionMessage).length).to.be.lessThan(500);
    });

    it("are rejected with an invalid value", () => {
        const withChange = (change: (entry: unknown[]) => void) => {
            const entry = JSON.parse(JSON.stringify(encodeReport(report))) as unknown[];
            change(entry);
            return { report: entry };
        };
        const withCellValue = (index: number, value: unknown) =>
            withChange(entry => {
                (entry[8] as unknown[][])[0][index] = value;
            });
        const invalid = [
            withChange(entry => entry[0] = ["profiles", "v2"]),
            withChange(entry => entry[2] = -1),
            withChange(entry => entry[5] = "5"),
            withChange(entry => entry[6] = -2),
            withChange(entry => entry.pop()),
            withChange(entry =>
                entry[8] = Array.from({ length: maxReportCells + 1 }, () => (entry[8] as unknown[])[0])
            ),
            withCellValue(0, 2),
            withCellValue(1, 8),
            withCellValue(1, 0.5),
            withCellValue(4, 10),
            withCellValue(5, "1"),
            { grant: ["moving"] },
            { grant: [...encodeGrant(grant).slice(0, 1), "moved", ...encodeGrant(grant).slice(2)] },
            { news: [["profiles", "completed", ""]] },
            { news: [[["profiles", "v2", 17], "running", ""]] },
            { news: {} },
            { wanted: [["profiles", "v2", 17], "done"] },
            { wanted: ["profiles", "completed"] },
        ];
        invalid.forEach(message => expect(isRolloutMessage(message), JSON.stringify(message)).to.equal(false));
    });

    it("are validated without an exception, whatever they contain", () => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            expect(isRolloutMessage({ report: value })).to.equal(false);
            expect(isRolloutMessage({ grant: value })).to.equal(false);
            isRolloutMessage(value);
        }));
    });
});
