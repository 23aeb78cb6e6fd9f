/**
 * `customers --peer IP:PORT`: what each customer's quota is, and what boxes
 * admitted and refused of it since they started. Keys are never shown.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import type { Metric } from "./box-metrics.js";
import type { Command } from "./command.js";
import { type BoxWithMetrics, readRunningBoxes } from "./running-boxes.js";
import { formatTable } from "./table.js";

/** A customer on one box, or on all. Rates in requests a second. */
interface CustomerFigures {
    readonly customer: string;
    rate: number;
    admitted: number;
    refused: number;
}

/** The command. */
export const customers: Command = {
    words: ["customers"],
    usage: "customers --peer IP:PORT [--all]",
    summary: "customers: quota, requests admitted and refused; by box with --all",
    async run(_, context): Promise<ExitCode> {
        const found = await readRunningBoxes(context);
        const total = sumUp(found);
        if (context.flags.json) {
            const byBox = found.map(({ member, metrics }) => ({
                box: member.box,
                customers: figuresOf(metrics ?? []),
            }));
            context.write(JSON.stringify({ customers: total, boxes: byBox }));
        }
        else if (total.length === 0) {
            context.write("no customer with a quota has asked yet");
        }
        else {
            context.write(formatTable(["customer", "quota", "admitted", "refused"], total.map(rowOf)));
            if (context.flags.all) {
                context.write(`\n${formatTable(["box", "customer", "admitted", "refused"], rowsByBox(found))}`);
            }
        }
        return found.every(({ metrics }) => metrics !== undefined) ? exitCodes.success : exitCodes.unavailable;
    },
};

function rowOf({ admitted, customer, rate, refused }: CustomerFigures): string[] {
    return [customer, `${rate}/s`, String(admitted), String(refused)];
}

function rowsByBox(found: readonly BoxWithMetrics[]): string[][] {
    return found.flatMap(({ member, metrics }) =>
        figuresOf(metrics ?? []).map(({ admitted, customer, refused }) => [
            member.box,
            customer,
            String(admitted),
            String(refused),
        ])
    );
}

/** Sums over all boxes, the most refused first. */
function sumUp(found: readonly BoxWithMetrics[]): CustomerFigures[] {
    const sums = new Map<string, CustomerFigures>();
    for (const figures of found.flatMap(({ metrics }) => figuresOf(metrics ?? []))) {
        const sum = sums.get(figures.customer) ?? { ...figures, admitted: 0, refused: 0 };
        sum.admitted += figures.admitted;
        sum.refused += figures.refused;
        sum.rate = Math.max(sum.rate, figures.rate);
        sums.set(figures.customer, sum);
    }
    return [...sums.values()].sort((a, b) => b.refused - a.refused || b.admitted - a.admitted);
}

function figuresOf(metrics: readonly Metric[]): CustomerFigures[] {
    const figures = new Map<string, CustomerFigures>();
    for (const { labels, name, value } of metrics) {
        const { customer } = labels;
        if (customer === undefined) {
            continue;
        }
        const entry = figures.get(customer) ?? { customer, rate: 0, admitted: 0, refused: 0 };
        figures.set(customer, entry);
        if (name === "customer_quota_rate") {
            entry.rate = value;
        }
        else if (labels.outcome === "admitted") {
            entry.admitted = value;
        }
        else {
            entry.refused = value;
        }
    }
    return [...figures.values()];
}
