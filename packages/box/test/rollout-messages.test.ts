/**
 * Messages about roll-outs, as other boxes get them.
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
const news: RolloutDecision = { rollout, decision: "rolledBack", reason: "failures 9 of 20" };

/** Returns the message as another box would get it. */
const sent = (message: RolloutMessage) => JSON.parse(JSON.stringify(message)) as RolloutMessage;

describe("messages about roll-outs", () => {
    it("say what was meant", () => {
        const got = sent({ report: encodeReport(report), grant: encodeGrant(grant), news: [encodeDecision(news)] });
        expect(isRolloutMessage(got)).to.equal(true);
        expect(decodeReport(got.report!)).to.deep.equal(report);
        expect(decodeGrant(got.grant!)).to.deep.equal(grant);
        expect(got.news!.map(decodeDecision)).to.deep.equal([news]);
        const wanted = sent({ wanted: encodeWriteRequest(rollout, "completed") });
        expect(isRolloutMessage(wanted)).to.equal(true);
        expect(decodeWriteRequest(wanted.wanted!)).to.deep.equal({ rollout, state: "completed" });
        const later = { ...report, knownGrantedTotal: 0 };
        expect(decodeReport(sent({ report: encodeReport(later) }).report!)).to.deep.equal(later);
    });

    it("leave room for the sender's record in a datagram, with as many cells and as long a reason as there may be", () => {
        const cells = Array.from(
            { length: maxReportCells + 20 },
            (_, answers) => ({ ...cell, answers: 100_000 + answers }),
        );
        const entry = encodeReport({ ...report, cells });
        expect(JSON.stringify(sent({ report: entry })).length).to.be.lessThan(7000);
        expect(isRolloutMessage(sent({ report: entry }))).to.equal(true);
        expect(Math.min(...decodeReport(entry).cells.map(({ answers }) => answers))).to.equal(100_020);
        const told = sent({ news: [encodeDecision({ ...news, reason: "x".repeat(9000) })] });
        expect(isRolloutMessage(told)).to.equal(true);
        expect(JSON.stringify(told).length).to.be.lessThan(500);
    });

    it("are refused with a figure that can't be", () => {
        const spoiled = (change: (entry: unknown[]) => void) => {
            const entry = JSON.parse(JSON.stringify(encodeReport(report))) as unknown[];
            change(entry);
            return { report: entry };
        };
        const spoiledCell = (index: number, value: unknown) =>
            spoiled(entry => {
                (entry[8] as unknown[][])[0][index] = value;
            });
        const wrong = [
            spoiled(entry => entry[0] = ["profiles", "v2"]),
            spoiled(entry => entry[2] = -1),
            spoiled(entry => entry[5] = "5"),
            spoiled(entry => entry[6] = -2),
            spoiled(entry => entry.pop()),
            spoiled(entry => entry[8] = Array.from({ length: maxReportCells + 1 }, () => (entry[8] as unknown[])[0])),
            spoiledCell(0, 2),
            spoiledCell(1, 8),
            spoiledCell(1, 0.5),
            spoiledCell(4, 10),
            spoiledCell(5, "1"),
            { grant: ["moving"] },
            { grant: [...encodeGrant(grant).slice(0, 1), "moved", ...encodeGrant(grant).slice(2)] },
            { news: [["profiles", "completed", ""]] },
            { news: [[["profiles", "v2", 17], "running", ""]] },
            { news: {} },
            { wanted: [["profiles", "v2", 17], "done"] },
            { wanted: ["profiles", "completed"] },
        ];
        wrong.forEach(message => expect(isRolloutMessage(message), JSON.stringify(message)).to.equal(false));
    });

    it("never throw, whatever they hold", () => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            expect(isRolloutMessage({ report: value })).to.equal(false);
            expect(isRolloutMessage({ grant: value })).to.equal(false);
            isRolloutMessage(value);
        }));
    });
});
