import { customerId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import { isQuotaMessage, leaseEntry, readLease, readReport, reportEntry } from "../src/quotas/quota-messages.js";

/** Returns the value as another box would get it. */
const sent = <Value>(value: Value): Value => JSON.parse(JSON.stringify(value)) as Value;

describe("messages about quotas", () => {
    const report = { customer: customerId("club"), asked: 7, admitted: 5, since: milliseconds(300) };
    const lease = { customer: customerId("club"), rate: 12.345, burst: 2, isCalm: true };

    it("are taken as boxes send them", () => {
        const message = sent({ reports: [reportEntry(report)], leases: [leaseEntry(lease)] });
        expect(isQuotaMessage(message)).to.equal(true);
        expect(message.reports.map(readReport)).to.deep.equal([report]);
        expect(message.leases.map(readLease)).to.deep.equal([lease]);
    });

    it("are refused with an entry that the box could not use", () => {
        for (const entry of [["club", 1, 1], ["club", 1, 1, "300"], [7, 1, 1, 300], {}, undefined]) {
            expect(isQuotaMessage({ reports: [entry] })).to.equal(false);
            expect(isQuotaMessage({ leases: [entry] })).to.equal(false);
        }
    });

    it("never throw, whatever they hold", () => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            isQuotaMessage(value);
            isQuotaMessage({ reports: value });
        }));
    });
});
