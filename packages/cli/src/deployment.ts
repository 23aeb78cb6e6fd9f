/**
 * Commands on a whole deployment of the box program: `boxes` and `burn`. They
 * ask a running box for the members and every member for its metrics.
 *
 * Owns the file of samples that `burn` appends to.
 */

import { advertisedBoxes, type MemberRecord } from "@chalkdale/decisions";
import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import { appendFile, readFile } from "node:fs/promises";
import { type Metric, readMembers, readMetrics, valueOf } from "./box-metrics.js";
import {
    type BoxCounters,
    type BurnSample,
    burnWindows,
    computeBurn,
    isGoodOutcome,
    type RouteBurn,
} from "./burn-rate.js";
import { type Command, type CommandContext, CommandError } from "./context.js";
import { formatTable } from "./table.js";

interface BoxWithMetrics {
    readonly member: MemberRecord;
    readonly metrics: readonly Metric[] | undefined;
}

/** Milliseconds of a second. */
const second = 1000;
/** Bytes of a megabyte. */
const megabyte = 1024 * 1024;

/** `boxes --peer IP:PORT`: every box that runs, what it carries and what it has in force. */
export const boxes: Command = {
    words: ["boxes"],
    usage: "boxes --peer IP:PORT",
    summary: "all boxes: capacity, load, versions in force, store",
    async run(_, context): Promise<ExitCode> {
        const found = await readDeployment(context);
        const advertised = new Set(
            advertisedBoxes(found.map(({ member }) => member).filter(isInService)).map(({ box }) => box),
        );
        if (context.flags.json) {
            context.write(JSON.stringify(found.map(entry => jsonOf(entry, advertised.has(entry.member.box)))));
        }
        else {
            context.write(formatTable(
                ["box", "zone", "state", "carries", "load", "version", "servers", "store", "in flight", "memory"],
                found.map(entry => rowOf(entry, advertised.has(entry.member.box))),
            ));
        }
        return found.every(({ metrics }) => metrics !== undefined) ? exitCodes.success : exitCodes.unavailable;
    },
};

/** The keys are what operators' scripts read. */
function jsonOf({ member, metrics }: BoxWithMetrics, carries: boolean) {
    return { member, figures: metrics, carries };
}

function rowOf({ metrics, member }: BoxWithMetrics, carries: boolean): string[] {
    const place = [
        member.box,
        member.zone,
        member.leaving ? "leaving" : member.ready ? "in service" : "starting",
        carries ? "yes" : "no",
        `${member.load.toFixed(2)}/${member.capacity.toFixed(2)} cores`,
    ];
    if (metrics === undefined) {
        return [...place, "unreachable", "", "", "", ""];
    }
    const value = (name: string) => valueOf(metrics, name);
    const lostFor = value("store_lost_milliseconds") ?? 0;
    return [
        ...place,
        String(value("configuration_version") ?? "none"),
        String(value("servers_revision") ?? "none"),
        lostFor === 0 ? "answers" : `lost for ${(lostFor / second).toFixed(1)} s`,
        String(value("callers_in_flight") ?? 0),
        `${((value("memory_bytes") ?? 0) / megabyte).toFixed(0)} MB`,
    ];
}

/** `burn --peer IP:PORT --samples FILE`: takes a sample, and shows the burn of each route over four windows. */
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
        const sample = sampleOf(await readDeployment(context));
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
        const isGood = name === "requests_total" ? isGoodOutcome(outcome) : undefined;
        if (isGood !== undefined) {
            const counts = isGood ? good : bad;
            counts[route] = (counts[route] ?? 0) + value;
        }
    }
    return { incarnation: member.incarnation, good, bad };
}

async function readDeployment(context: CommandContext): Promise<BoxWithMetrics[]> {
    const { metricsPort, peer } = context.flags;
    if (peer === undefined) {
        throw new CommandError("name a running box with --peer IP:PORT (its address for other boxes)", exitCodes.usage);
    }
    const members = [...await readMembers(peer)].sort((a, b) => a.box.localeCompare(b.box));
    return Promise.all(members.map(async member => ({ member, metrics: await readMetrics(member, metricsPort) })));
}

function isInService(member: MemberRecord): boolean {
    return member.ready && !member.leaving;
}
