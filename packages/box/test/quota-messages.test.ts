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

/** Returns the value as another box receives it. */
const transmit = <Value>(value: Value): Value => JSON.parse(JSON.stringify(value)) as Value;

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

    it("are decoded to the values that were encoded", () => {
        const reports = transmit(
            encodeReports([report, { ...report, customer: customerId("new"), lastLevel: undefined }]),
        );
        const leases = transmit(encodeLeases([lease]));
        expect([reports, leases].every(isQuotaMessage)).to.equal(true);
        expect(decodeReports(reports)).to.deep.equal([
            report,
            { ...report, customer: customerId("new"), lastLevel: undefined },
        ]);
        expect(decodeLeases(leases)).to.deep.equal([lease]);
        expect(decodeReports(leases)).to.deep.equal([]);
    });

    it("are accepted without levels, as boxes of an earlier release send them", () => {
        const message = { reports: [["club", 7, 5, 300]], leases: [["club", 12.345, 2, 1]] } as const;
        expect(decodeReports(message)).to.deep.equal([{ ...report, unacknowledged: undefined, lastLevel: undefined }]);
        expect(decodeLeases(message)).to.deep.equal([{ ...lease, level: undefined }]);
    });

    it("are rejected with a malformed entry", () => {
        for (const entry of [["club", 1, 1], ["club", 1, 1, "300"], [7, 1, 1, 300], {}, undefined]) {
            expect(isQuotaMessage({ reports: [entry] })).to.equal(false);
            expect(isQuotaMessage({ leases: [entry] })).to.equal(false);
        }
        for (const entry of [[7, 1], ["club", "1"], {}, undefined]) {
            expect(isQuotaMessage({ levels: [entry] })).to.equal(false);
        }
    });

    it("are validated without an exception, whatever they contain", () => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            isQuotaMessage(value);
            isQuotaMessage({ reports: value });
            isQuotaMessage({ levels: value });
        }));
    });
});
