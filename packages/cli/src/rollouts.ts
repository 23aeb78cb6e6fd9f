/**
 * `rollouts --peer IP:PORT`: the roll-outs of server versions as the running
 * boxes have them: how far each is, what the version on trial got, what was seen
 * of it, and what was decided and why.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import type { Metric } from "./box-metrics.js";
import type { Command } from "./command.js";
import { readRunningBoxes } from "./running-boxes.js";
import { formatTable } from "./table.js";

/** One order, summed over all boxes. */
interface RolloutFigures {
    readonly service: string;
    version: string;
    proven: string;
    state: string;
    stage: string;
    decision: string;
    reason: string;
    /** Requests of the service at any server, and at the version on trial, since the boxes know of the order. */
    sent: number;
    sentToTrial: number;
    /** Requests that the version may have had by now and has been granted, as the deciding box has it. */
    allowed: number | undefined;
    granted: number | undefined;
    readonly evidence: EvidenceFigures[];
}

/** Answers of one route, at the version on trial or at the servers it is compared with. */
interface EvidenceFigures {
    readonly of: string;
    readonly route: string;
    answers: number;
    failures: number;
    slownessSum: number;
}

/** The command. */
export const rollouts: Command = {
    words: ["rollouts"],
    usage: "rollouts --peer IP:PORT",
    summary: "roll-outs: versions, stage, share sent, exposure used, evidence by route, decision and why",
    async run(_, context): Promise<ExitCode> {
        const found = await readRunningBoxes(context);
        const figures = sumRolloutMetrics(found.map(({ metrics }) => metrics ?? []));
        if (context.flags.json) {
            context.write(JSON.stringify({ rollouts: figures }));
        }
        else if (figures.length === 0) {
            context.write("no box takes part in a roll-out");
        }
        else {
            context.write(formatTable(
                ["service", "from", "to", "state", "stage", "sent", "to trial", "share", "granted/allowed", "decision"],
                figures.map(rowOf),
            ));
            context.write(
                `\n${
                    formatTable(
                        ["service", "route", "of", "answers", "failed", "times slower"],
                        figures.flatMap(evidenceRows),
                    )
                }`,
            );
            figures.filter(({ reason }) => reason !== "")
                .forEach(({ decision, reason, service }) => context.write(`\n${service}: ${decision}: ${reason}`));
        }
        return found.every(({ metrics }) => metrics !== undefined) ? exitCodes.success : exitCodes.unavailable;
    },
};

function rowOf(figures: RolloutFigures): string[] {
    const { allowed, decision, granted, proven, sent, sentToTrial, service, stage, state, version } = figures;
    return [
        service,
        proven || "-",
        version,
        state,
        stage,
        String(sent),
        String(sentToTrial),
        sent === 0 ? "-" : `${(100 * sentToTrial / sent).toFixed(1)}%`,
        allowed === undefined ? "-" : `${granted ?? 0}/${allowed}`,
        decision || "-",
    ];
}

function evidenceRows({ evidence, service }: RolloutFigures): string[][] {
    return [...evidence]
        .sort((a, b) => a.route.localeCompare(b.route) || a.of.localeCompare(b.of))
        .map(({ answers, failures, of, route, slownessSum }) => [
            service,
            route,
            of,
            String(answers),
            String(failures),
            answers > failures ? Math.exp(slownessSum / (answers - failures)).toFixed(2) : "-",
        ]);
}

/** Sums over boxes, given the metrics of each. */
export function sumRolloutMetrics(boxes: readonly (readonly Metric[])[]): RolloutFigures[] {
    const sums = new Map<string, RolloutFigures>();
    for (const { labels, name, value } of boxes.flat()) {
        const { service } = labels;
        if (!name.startsWith("rollout_") || service === undefined) {
            continue;
        }
        const sum = sums.get(service) ?? emptyFigures(service);
        sums.set(service, sum);
        addMetric(sum, { labels, name, value });
    }
    return [...sums.values()].sort((a, b) => a.service.localeCompare(b.service));
}

function emptyFigures(service: string): RolloutFigures {
    return {
        service,
        version: "",
        proven: "",
        state: "",
        stage: "",
        decision: "",
        reason: "",
        sent: 0,
        sentToTrial: 0,
        allowed: undefined,
        granted: undefined,
        evidence: [],
    };
}

function addMetric(sum: RolloutFigures, { labels, name, value }: Metric): void {
    switch (name) {
        case "rollout_info":
            // A box that has heard of a decision knows more than one that has not.
            if (sum.version === "" || labels.decision !== "") {
                const { decision = "", proven = "", reason = "", stage = "", state = "", version = "" } = labels;
                Object.assign(sum, { decision, proven, reason: reason || sum.reason, stage, state, version });
            }
            return;
        case "rollout_requests_total":
            sum[labels.to === "trial" ? "sentToTrial" : "sent"] += value;
            return;
        case "rollout_allowed":
            sum.allowed = Math.max(sum.allowed ?? 0, value);
            return;
        case "rollout_granted":
            sum.granted = Math.max(sum.granted ?? 0, value);
            return;
        case "rollout_answers_total":
            evidenceOf(sum, labels).answers += value;
            return;
        case "rollout_failures_total":
            evidenceOf(sum, labels).failures += value;
            return;
        case "rollout_slowness_sum":
            evidenceOf(sum, labels).slownessSum += value;
            return;
    }
}

function evidenceOf({ evidence }: RolloutFigures, { of = "", route = "" }: Metric["labels"]): EvidenceFigures {
    const known = evidence.find(entry => entry.of === of && entry.route === route);
    if (known !== undefined) {
        return known;
    }
    const entry = { of, route, answers: 0, failures: 0, slownessSum: 0 };
    evidence.push(entry);
    return entry;
}
