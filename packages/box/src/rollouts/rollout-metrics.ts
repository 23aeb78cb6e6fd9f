/**
 * What a box tells of roll-outs, in the Prometheus text format: a bounded number
 * of series, whatever the number of orders and routes.
 *
 * Owns nothing; the counts are read when someone asks.
 */

import type { EvidenceCell, Route } from "@chalkdale/decisions";
import { hashText } from "@chalkdale/kernel";
import type { RolloutSummary } from "./rollouts.js";

/** Orders with series of their own, the oldest first: some 60 lines of 100 bytes each at most. */
const mostOrders = 20;
/** Label of the routes that the evidence does not tell apart. */
const otherRoutes = "(others)";

/** Answers of one route at the version on trial, or at the servers it is compared with. */
interface RouteEvidence {
    answers: number;
    failures: number;
    slownessSum: number;
}

/** Returns the lines. */
export function rolloutMetricLines(counts: readonly RolloutSummary[], routes: readonly Route[]): readonly string[] {
    if (counts.length === 0) {
        return [];
    }
    const names = new Map(routes.map(({ name }) => [hashText(name), name]));
    return counts.slice(0, mostOrders).flatMap(entry => linesOf(entry, names));
}

function linesOf(entry: RolloutSummary, names: ReadonlyMap<number, string>): readonly string[] {
    const { decider, news, order, provenVersion, report, traffic } = entry;
    const service = label("service", order.service);
    const state = [
        service,
        label("version", order.targetVersion),
        label("proven", provenVersion ?? ""),
        label("state", order.state ?? "new"),
        label("stage", traffic.stage()),
        label("decision", news?.decision ?? traffic.decision() ?? ""),
        label("reason", news?.reason ?? ""),
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
