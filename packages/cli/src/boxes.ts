/**
 * `boxes --peer IP:PORT`: every box that runs, what it carries and what it has in
 * force. A large fleet is summed up by zone, with the odd boxes by name.
 */

import { advertisedBoxes, describePosition } from "@chalkdale/decisions";
import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import { valueOf } from "./box-metrics.js";
import type { Command } from "./command.js";
import { findAnomalousBoxes, zoneColumns, zoneRows } from "./fleet-summary.js";
import { type BoxWithMetrics, isInService, readRunningBoxes } from "./running-boxes.js";
import { formatTable } from "./table.js";

/** Boxes up to which each has its line without --all: what fits on a screen. */
const mostListed = 30;
/** Milliseconds of a second. */
const second = 1000;
/** Bytes of a megabyte. */
const megabyte = 1024 * 1024;

/** The command. */
export const boxes: Command = {
    words: ["boxes"],
    usage: "boxes --peer IP:PORT [--all]",
    summary: "all boxes: capacity, load, versions in force, store",
    async run(_, context): Promise<ExitCode> {
        const found = await readRunningBoxes(context);
        const advertised = new Set<string>(
            advertisedBoxes(found.map(({ member }) => member).filter(isInService)).map(({ box }) => box),
        );
        if (context.flags.json) {
            context.write(JSON.stringify(found.map(entry => jsonOf(entry, advertised.has(entry.member.box)))));
        }
        else if (found.length <= mostListed || context.flags.all) {
            context.write(listOf(found, advertised));
        }
        else {
            context.write(summaryOf(found, advertised));
        }
        return found.every(({ metrics }) => metrics !== undefined) ? exitCodes.success : exitCodes.unavailable;
    },
};

function listOf(found: readonly BoxWithMetrics[], advertised: ReadonlySet<string>): string {
    return formatTable(
        ["box", "zone", "state", "carries", "load", "version", "servers", "store", "in flight", "memory"],
        found.map(entry => rowOf(entry, advertised.has(entry.member.box))),
    );
}

function summaryOf(found: readonly BoxWithMetrics[], advertised: ReadonlySet<string>): string {
    const odd = findAnomalousBoxes(found);
    const zones = formatTable(zoneColumns, zoneRows(found, advertised));
    if (odd.length === 0) {
        return `${zones}\n\n${found.length} boxes, none of them odd; --all lists each`;
    }
    const rows = odd.map(({ box: { member }, reasons }) => [member.box, member.zone, reasons.join("; ")]);
    return `${zones}\n\n${odd.length} of ${found.length} boxes are odd; --all lists each\n${
        formatTable(["box", "zone", "why"], rows)
    }`;
}

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
    const revision = value("servers_revision");
    const lostFor = value("store_lost_milliseconds") ?? 0;
    return [
        ...place,
        String(value("configuration_version") ?? "none"),
        revision === undefined ? "none" : describePosition(revision),
        lostFor === 0 ? "answers" : `lost for ${(lostFor / second).toFixed(1)} s`,
        String(value("callers_in_flight") ?? 0),
        `${((value("memory_bytes") ?? 0) / megabyte).toFixed(0)} MB`,
    ];
}
