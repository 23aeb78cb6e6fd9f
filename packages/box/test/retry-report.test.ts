import { serviceId } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createRetryReport, retryMetricLines } from "../src/retry-report.js";

describe("report of the retries of a box", () => {
    const service = serviceId("profiles");
    const budgets = (granted: number, denied: number) =>
        new Map([[service, { boxCount: 9, tokens: 2.5, requests: 50, retries: 4, granted, denied }]]);

    it("logs a service only after more retries were asked for", () => {
        const lines: string[] = [];
        const report = createRetryReport(createLog({ write: line => lines.push(line) }));
        report(budgets(0, 0));
        report(budgets(4, 1));
        report(budgets(4, 1));
        report(budgets(4, 2));
        expect(lines.map(line => line.slice(line.indexOf("event=")).trim())).to.deep.equal([
            "event=retries.counted service=profiles boxes=9 tokens=2.5 requests=50 retries=4 granted=4 denied=1",
            "event=retries.counted service=profiles boxes=9 tokens=2.5 requests=50 retries=4 granted=4 denied=2",
        ]);
    });

    it("writes metrics by service", () => {
        expect(retryMetricLines(budgets(4, 1))).to.deep.equal([
            "chalkdale_retries_total{service=\"profiles\",outcome=\"granted\"} 4",
            "chalkdale_retries_total{service=\"profiles\",outcome=\"denied\"} 1",
            "chalkdale_retry_window{service=\"profiles\",of=\"requests\"} 50",
            "chalkdale_retry_window{service=\"profiles\",of=\"retries\"} 4",
            "chalkdale_retry_tokens{service=\"profiles\"} 2.5",
            "chalkdale_retry_boxes{service=\"profiles\"} 9",
        ]);
    });
});
