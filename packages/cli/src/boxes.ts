/**
 * `boxes --peer IP:PORT`: the running boxes, with their state, load and the
 * versions that they have in force. A large fleet is summarized by zone, and
 * only boxes with anomalies are listed.
 */

import { advertisedBoxes, describePosition } from "@chalkdale/decisions";
import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import { valueOf } from "./box-metrics.js";
import type { Command } from "./command.js";
import { findAnomalousBoxes, zoneColumns, zoneRows } from "./fleet-summary.js";
import { type BoxWithMetrics, isInService, readRunningBoxes } from "./running-boxes.js";
import { formatTable } from "./table.js";

/** Largest fleet that is listed box by box without --all: as many lines as fit on a screen. */
const maxListedBoxes = 30;
/** Milliseconds in a second. */
const second = 1000;
/** Bytes in a megabyte. */
const megabyte = 1024 * 1024;

/** The command `boxes`. */
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
        else if (found.length <= maxListedBoxes || context.flags.all) {
            context.write(formatList(found, advertised));
        }
        else {
            context.write(formatSummary(found, advertised));
        }
        return found.every(({ metrics }) => metrics !== undefined) ? exitCodes.success : exitCodes.unavailable;
    },
};

function formatList(found: readonly BoxWithMetrics[], advertised: ReadonlySet<string>): string {
    return formatTable(
        ["box", "zone", "state", "carries", "load", "version", "servers", "store", "in flight", "memory"],
        found.map(entry => rowOf(entry, advertised.has(entry.member.box))),
    );
}

function formatSummary(found: readonly BoxWithMetrics[], advertised: ReadonlySet<string>): string {
    const anomalous = findAnomalousBoxes(found);
    const zones = formatTable(zoneColumns, zoneRows(found, advertised));
    if (anomalous.length === 0) {
        return `${zones}\n\n${found.length} boxes, none with anomalies; --all lists each`;
    }
    const rows = anomalous.map(({ box: { member }, reasons }) => [member.box, member.zone, reasons.join("; ")]);
    return `${zones}\n\n${anomalous.length} of ${found.length} boxes have anomalies; --all lists each\n${
        formatTable(["box", "zone", "why"], rows)
    }`;
}

/** Returns a box as `--json` writes it. Operators' scripts rely on the keys. */
function jsonOf({ member, metrics }: BoxWithMetrics, isAdvertised: boolean) {
    return { member, figures: metrics, carries: isAdvertised };
}

function rowOf({ metrics, member }: BoxWithMetrics, isAdvertised: boolean): string[] {
    const memberCells = [
        member.box,
        member.zone,
        member.leaving ? "leaving" : member.ready ? "in service" : "starting",
        isAdvertised ? "yes" : "no",
        `${member.load.toFixed(2)}/${member.capacity.toFixed(2)} cores`,
    ];
    if (metrics === undefined) {
        return [...memberCells, "unreachable", "", "", "", ""];
    }
    const value = (name: string) => valueOf(metrics, name);
    const revision = value("servers_revision");
    const lostFor = value("store_lost_milliseconds") ?? 0;
    return [
        ...memberCells,
        String(value("configuration_version") ?? "none"),
        revision === undefined ? "none" : describePosition(revision),
        lostFor === 0 ? "answers" : `lost for ${(lostFor / second).toFixed(1)} s`,
        String(value("callers_in_flight") ?? 0),
        `${((value("memory_bytes") ?? 0) / megabyte).toFixed(0)} MB`,
    ];
}
