/**
 * `burn --peer IP:PORT --samples FILE`: how fast the error budget of each route is used up.
 *
 * Owns the file of samples that each run appends to.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import { appendFile, readFile } from "node:fs/promises";
import type { Metric } from "./box-metrics.js";
import {
    type BoxCounters,
    type BurnSample,
    burnWindows,
    classifyOutcome,
    computeBurn,
    type RouteBurn,
} from "./burn-rate.js";
import { type Command, CommandError } from "./command.js";
import { type BoxWithMetrics, readRunningBoxes } from "./running-boxes.js";
import { formatTable } from "./table.js";

/** The command: takes a sample, and shows the burn of each route over four windows. */
export const burn: Command = {
    words: ["burn"],
    usage: "burn --peer IP:PORT --samples FILE",
    summary: "service-level burn over 5 min, 1 h, 6 h and 3 days",
    async run(_, context): Promise<ExitCode> {
        const { objective, samples: file } = context.flags;
        if (file === undefined) {
            throw new CommandError("expected --samples FILE, where samples are kept between runs", exitCodes.usage);
        }
        if (!(objective > 0 && objective < 1)) {
            throw new CommandError("--objective must lie between 0 and 1, such as 0.999", exitCodes.usage);
        }
        const earlier = await readSamples(file);
        const sample = sampleOf(await readRunningBoxes(context));
        await appendFile(file, `${JSON.stringify(sample)}\n`);
        const routes = computeBurn([...earlier, sample], objective);
        if (context.flags.json) {
            context.write(JSON.stringify(routes));
        }
        else {
            context.write(formatTable(
                ["route", "requests", "failed", ...burnWindows.map(({ name }) => name), "alert"],
                routes.map(burnRow),
            ));
        }
        return exitCodes.success;
    },
};

function burnRow(found: RouteBurn): string[] {
    const rates = burnWindows.map(({ name }) => found.rates[name]?.toFixed(2) ?? "-");
    return [found.route, String(found.requests), String(found.failures), ...rates, found.alert];
}

async function readSamples(file: string): Promise<BurnSample[]> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return [];
        }
        throw error;
    }
    return text.split("\n").filter(line => line !== "").map((line, index) => {
        try {
            return JSON.parse(line) as BurnSample;
        }
        catch {
            throw new CommandError(
                `${file}:${index + 1} is no sample; move the file away to begin anew`,
                exitCodes.failure,
            );
        }
    });
}

function sampleOf(found: readonly BoxWithMetrics[]): BurnSample {
    const counted = found.flatMap(({ metrics, member }) =>
        metrics === undefined ? [] : [[member.box, countersOf(member, metrics)] as const]
    );
    return { at: Date.now(), boxes: Object.fromEntries(counted) };
}

function countersOf(member: MemberRecord, metrics: readonly Metric[]): BoxCounters {
    const good: Record<string, number> = {};
    const bad: Record<string, number> = {};
    for (const { labels: { outcome, route }, name, value } of metrics) {
        const isGood = name === "requests_total" ? classifyOutcome(outcome) : undefined;
        if (isGood !== undefined) {
            const counts = isGood ? good : bad;
            counts[route] = (counts[route] ?? 0) + value;
        }
    }
    return { incarnation: member.incarnation, good, bad };
}
