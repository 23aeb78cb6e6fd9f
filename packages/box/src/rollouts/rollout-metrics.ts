/**
 * Formats the roll-out metrics of a box in the Prometheus text format: a bounded
 * number of series, whatever the number of orders and routes.
 *
 * Owns no state; the summaries are read when the metrics are requested.
 */

import type { EvidenceCell, Route } from "@chalkdale/decisions";
import { hashText } from "@chalkdale/kernel";
import type { RolloutSummary } from "./rollouts.js";

/** Maximum number of orders with series, the oldest first. Each order has up to about 60 lines of 100 bytes. */
const maxOrders = 20;
/** Label of the routes that the evidence does not distinguish. */
const otherRoutes = "(others)";

/** Answers of one route from the trial version, or from the servers that it is compared with. */
interface RouteEvidence {
    answers: number;
    failures: number;
    slownessSum: number;
}

/** Returns the metric lines; none without orders. */
export function rolloutMetricLines(summaries: readonly RolloutSummary[], routes: readonly Route[]): readonly string[] {
    if (summaries.length === 0) {
        return [];
    }
    const names = new Map(routes.map(({ name }) => [hashText(name), name]));
    return summaries.slice(0, maxOrders).flatMap(summary => linesOf(summary, names));
}

function linesOf(summary: RolloutSummary, names: ReadonlyMap<number, string>): readonly string[] {
    const { decider, knownDecision, order, provenVersion, report, traffic } = summary;
    const service = label("service", order.service);
    const state = [
        service,
        label("version", order.targetVersion),
        label("proven", provenVersion ?? ""),
        label("state", order.state ?? "new"),
        label("stage", traffic.stage()),
        label("decision", knownDecision?.decision ?? traffic.decision() ?? ""),
        label("reason", knownDecision?.reason ?? ""),
    ];
    const lines = [`chalkdale_rollout_info{${state.join(",")}} 1`];
    if (report !== undefined) {
        lines.push(
            `chalkdale_rollout_requests_total{${service},to="all"} ${report.sent}`,
            `chalkdale_rollout_requests_total{${service},to="trial"} ${report.sentToTrial}`,
            `chalkdale_rollout_cap{${service}} ${report.cap}`,
            ...evidenceLines(service, report.cells, names),
        );
    }
    if (decider !== undefined) {
        lines.push(
            `chalkdale_rollout_allowed{${service}} ${Math.floor(decider.allowed)}`,
            `chalkdale_rollout_granted{${service}} ${Math.floor(decider.grantedTotal)}`,
        );
    }
    return lines;
}

function evidenceLines(
    service: string,
    cells: readonly EvidenceCell[],
    names: ReadonlyMap<number, string>,
): readonly string[] {
    const sums = new Map<string, RouteEvidence>();
    for (const { answers, failures, isTrial, route, slownessSum } of cells) {
        const labels = [
            service,
            label("of", isTrial ? "trial" : "proven"),
            label("route", names.get(route) ?? otherRoutes),
        ]
            .join(",");
        const sum = sums.get(labels) ?? { answers: 0, failures: 0, slownessSum: 0 };
        sum.answers += answers;
        sum.failures += failures;
        sum.slownessSum += slownessSum;
        sums.set(labels, sum);
    }
    return [...sums].flatMap(([labels, { answers, failures, slownessSum }]) => [
        `chalkdale_rollout_answers_total{${labels}} ${answers}`,
        `chalkdale_rollout_failures_total{${labels}} ${failures}`,
        `chalkdale_rollout_slowness_sum{${labels}} ${slownessSum.toFixed(3)}`,
    ]);
}

function label(name: string, value: string): string {
    return `${name}="${value.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"").replaceAll("\n", " ")}"`;
}
