import { expect } from "chai";
import { parseMetrics } from "../src/box-metrics.js";
import { sumRolloutMetrics } from "../src/rollouts.js";

const service = "service=\"profiles\"";
const info = (decision: string, reason: string) =>
    `chalkdale_rollout_info{${service},version="v2",proven="v1",state="running",stage="watching",decision="${decision}",reason="${reason}"} 1`;
const boxes = [
    [
        info("", ""),
        `chalkdale_rollout_requests_total{${service},to="all"} 300`,
        `chalkdale_rollout_requests_total{${service},to="trial"} 12`,
        `chalkdale_rollout_answers_total{${service},of="trial",route="look"} 12`,
        `chalkdale_rollout_failures_total{${service},of="trial",route="look"} 2`,
        `chalkdale_rollout_slowness_sum{${service},of="trial",route="look"} 6.931`,
        `chalkdale_rollout_allowed{${service}} 70`,
        `chalkdale_rollout_granted{${service}} 40`,
    ],
    [
        info("rolledBack", "bad by \\\"failures\\\""),
        `chalkdale_rollout_requests_total{${service},to="all"} 100`,
        `chalkdale_rollout_requests_total{${service},to="trial"} 3`,
        `chalkdale_rollout_answers_total{${service},of="trial",route="look"} 3`,
        "chalkdale_requests_total{route=\"look\",outcome=\"200\"} 7",
    ],
].map(lines => parseMetrics(lines.join("\n")));

describe("roll-outs as the boxes tell them", () => {
    it("are summed up by service, with what the box knows that heard of a decision", () => {
        const expected = {
            service: "profiles",
            version: "v2",
            proven: "v1",
            state: "running",
            stage: "watching",
            decision: "rolledBack",
            reason: "bad by \"failures\"",
            sent: 400,
            sentToTrial: 15,
            allowed: 70,
            granted: 40,
            evidence: [{ of: "trial", route: "look", answers: 15, failures: 2, slownessSum: 6.931 }],
        };
        expect(sumRolloutMetrics(boxes)).to.deep.equal([expected]);
        expect(sumRolloutMetrics([...boxes].reverse())).to.deep.equal([expected]);
    });

    it("are none where no box tells of one", () => {
        expect(sumRolloutMetrics([parseMetrics("chalkdale_lookups_total 3"), []])).to.deep.equal([]);
    });
});
