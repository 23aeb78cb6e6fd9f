import { expect } from "chai";
import { parseMetrics, valueOf } from "../src/box-metrics.js";
import { type BurnSample, classifyOutcome, computeBurn } from "../src/burn-rate.js";

const minute = 60_000;

/** One sample of one box with so many good and bad requests of route `a` since its start. */
function sample(minutes: number, good: number, bad: number, incarnation = "1"): BurnSample {
    return { at: minutes * minute, boxes: { "box-1": { incarnation, good: { a: good }, bad: { a: bad } } } };
}

describe("burn rate", () => {
    const burnOf = (...samples: BurnSample[]) => computeBurn(samples, 0.999)[0];

    it("is 1 when failures use the budget up exactly", () => {
        const { rates, requests } = burnOf(sample(0, 0, 0), sample(3, 9990, 10));
        expect(requests).to.equal(10_000);
        expect(rates["5 min"]).to.be.closeTo(1, 1e-9);
    });

    it("is unknown where nothing was asked, as after one sample", () => {
        expect(burnOf(sample(0, 5, 1)).rates["3 days"]).to.equal(undefined);
    });

    it("counts within each window only", () => {
        const { rates } = burnOf(sample(0, 0, 0), sample(30, 0, 100), sample(32, 1000, 100));
        expect(rates["5 min"]).to.equal(0);
        expect(rates["1 h"]).to.be.greaterThan(0);
    });

    it("counts a new life of a box from zero", () => {
        const { failures, requests } = burnOf(sample(0, 500, 50), sample(1, 20, 2, "2"));
        expect([requests, failures]).to.deep.equal([22, 2]);
    });

    it("goes on from a box's last sample when it did not answer in between", () => {
        const { requests } = burnOf(sample(0, 500, 0), { at: minute, boxes: {} }, sample(2, 520, 0));
        expect(requests).to.equal(20);
    });

    it("wakes someone when an hour and the last minutes burn fast, and asks for a look when days burn slowly", () => {
        expect(burnOf(sample(0, 0, 0), sample(3, 900, 100)).alert).to.equal("page");
        expect(burnOf(sample(0, 0, 0), sample(200, 9970, 30), sample(202, 10_970, 30)).alert).to.equal("ticket");
        expect(burnOf(sample(0, 0, 0), sample(3, 1000, 0)).alert).to.equal("none");
    });

    it("blames no box for what callers do", () => {
        expect(["200", "404", "500", "timedOut", "callerLeft", "noRoute"].map(classifyOutcome))
            .to.deep.equal([true, true, false, false, undefined, undefined]);
    });
});

describe("metrics of a box", () => {
    it("are read with their labels, and other lines are left out", () => {
        const text =
            "chalkdale_requests_total{route=\"a\",outcome=\"200\"} 7\nchalkdale_boxes_alive 3\nother 1\n# x\nchalkdale_x y\n";
        const metrics = parseMetrics(text);
        expect(metrics).to.have.length(2);
        expect(metrics[0]).to.deep.equal({ name: "requests_total", labels: { route: "a", outcome: "200" }, value: 7 });
        expect(valueOf(metrics, "boxes_alive")).to.equal(3);
        expect(valueOf(metrics, "requests_total")).to.equal(undefined);
    });

    it("are read whatever a label's value holds", () => {
        const line = "chalkdale_customer_quota_rate{customer=\"a \\\"b\\\\c, d=\\\"e\\\"\"} 5";
        expect(parseMetrics(line)).to.deep.equal([
            { name: "customer_quota_rate", labels: { customer: "a \"b\\c, d=\"e\"" }, value: 5 },
        ]);
    });
});
