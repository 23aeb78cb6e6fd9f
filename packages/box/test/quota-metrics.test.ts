import { customerId } from "@chalkdale/kernel";
import { expect } from "chai";
import { quotaMetricLines } from "../src/quotas/quota-metrics.js";

const counts = (name: string, admitted: number, refused: number) => ({
    customer: customerId(name),
    rate: 5,
    admitted,
    refused,
});

describe("metrics of customers", () => {
    it("show the quota and the admitted and refused requests", () => {
        expect(quotaMetricLines([counts("club", 7, 2)])).to.deep.equal([
            "chalkdale_customer_requests_total{customer=\"club\",outcome=\"admitted\"} 7",
            "chalkdale_customer_requests_total{customer=\"club\",outcome=\"quotaSpent\"} 2",
            "chalkdale_customer_quota_rate{customer=\"club\"} 5",
        ]);
    });

    it("have a bounded number of series, the most refused first, and lose no request", () => {
        const many = Array.from({ length: 1000 }, (_, index) => counts(`c-${index}`, 1, index));
        const lines = quotaMetricLines(many);
        expect(lines).to.have.length(303);
        expect(lines[0]).to.include("c-999");
        const refused = lines.filter(line => line.includes("quotaSpent")).map(line => Number(line.split(" ").at(-1)));
        expect(refused.reduce((sum, count) => sum + count, 0)).to.equal(999 * 500);
    });

    it("escape the customer's name in the label", () => {
        expect(quotaMetricLines([counts("a\"b\\c", 1, 0)])[0]).to.include("customer=\"a\\\"b\\\\c\"");
    });
});
