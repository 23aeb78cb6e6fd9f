import { customerId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import {
    decodeLeases,
    decodeReports,
    encodeLeases,
    encodeReports,
    isQuotaMessage,
} from "../src/quotas/quota-messages.js";

/** Returns the value as another box would get it. */
const sent = <Value>(value: Value): Value => JSON.parse(JSON.stringify(value)) as Value;

describe("messages about quotas", () => {
    const report = {
        customer: customerId("club"),
        requested: 7,
        admitted: 5,
        since: milliseconds(300),
        unacknowledged: 4,
        lastLevel: { level: -12.5, age: milliseconds(900) },
    };
    const lease = { customer: customerId("club"), rate: 12.345, burst: 2, hasHeadroom: true, level: 40 };

    it("are taken as boxes send them", () => {
        const reports = sent(encodeReports([report, { ...report, customer: customerId("new"), lastLevel: undefined }]));
        const leases = sent(encodeLeases([lease]));
        expect([reports, leases].every(isQuotaMessage)).to.equal(true);
        expect(decodeReports(reports)).to.deep.equal([
            report,
            { ...report, customer: customerId("new"), lastLevel: undefined },
        ]);
        expect(decodeLeases(leases)).to.deep.equal([lease]);
        expect(decodeReports(leases)).to.deep.equal([]);
    });

    it("are taken from a box of an earlier release, which tells no levels", () => {
        const told = { reports: [["club", 7, 5, 300]], leases: [["club", 12.345, 2, 1]] } as const;
        expect(decodeReports(told)).to.deep.equal([{ ...report, unacknowledged: undefined, lastLevel: undefined }]);
        expect(decodeLeases(told)).to.deep.equal([{ ...lease, level: undefined }]);
    });

    it("are refused with an entry that the box could not use", () => {
        for (const entry of [["club", 1, 1], ["club", 1, 1, "300"], [7, 1, 1, 300], {}, undefined]) {
            expect(isQuotaMessage({ reports: [entry] })).to.equal(false);
            expect(isQuotaMessage({ leases: [entry] })).to.equal(false);
        }
        for (const entry of [[7, 1], ["club", "1"], {}, undefined]) {
            expect(isQuotaMessage({ levels: [entry] })).to.equal(false);
        }
    });

    it("never throw, whatever they hold", () => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            isQuotaMessage(value);
            isQuotaMessage({ reports: value });
            isQuotaMessage({ levels: value });
        }));
    });
});
