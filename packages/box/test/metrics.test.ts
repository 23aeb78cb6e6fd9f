import { expect } from "chai";
import { createBoxMetrics } from "../src/metrics.js";

describe("metrics of a box", () => {
    it("tell counts by route and outcome, latencies and gauges", () => {
        const metrics = createBoxMetrics();
        metrics.onRequestEnded("lookup", "200", 12);
        metrics.onRequestEnded("lookup", "200", 14);
        metrics.onRequestEnded("save", "serversFull", 3);
        metrics.onAttempt("answered");
        metrics.onServed(10);
        metrics.onLookup();
        const text = metrics.text({ boxes_alive: 9, configuration_version: undefined });
        const lines = text.split("\n");
        expect(lines).to.include.members([
            "chalkdale_requests_total{route=\"lookup\",outcome=\"200\"} 2",
            "chalkdale_requests_total{route=\"save\",outcome=\"serversFull\"} 1",
            "chalkdale_attempts_total{outcome=\"answered\"} 1",
            "chalkdale_lookups_total 1",
            "chalkdale_request_milliseconds_count 3",
            "chalkdale_request_milliseconds{quantile=\"0.5\"} 12",
            "chalkdale_boxes_alive 9",
        ]);
        expect(text).not.to.include("configuration_version");
    });
});
