/**
 * A fleet too large for one line a box: the boxes of each zone summed up, and
 * those that are odd with the reason.
 *
 * Pure: boxes in, rows out.
 */

import { valueOf } from "./box-metrics.js";
import { type BoxWithMetrics, isInService } from "./running-boxes.js";

/** A box that on-call should look at, and why. */
export interface AnomalousBox {
    readonly box: BoxWithMetrics;
    readonly reasons: readonly string[];
}

/** Part of its capacity that a box uses before it counts as busy. */
const busyPart = 0.8;

/** Returns a row for each zone: region, zone, boxes, in service, advertised, load and capacity, requests in flight. */
export function zoneRows(boxes: readonly BoxWithMetrics[], advertised: ReadonlySet<string>): string[][] {
    const zones = new Map<string, BoxWithMetrics[]>();
    for (const box of boxes) {
        const name = `${box.member.region} ${box.member.zone}`;
        zones.set(name, [...zones.get(name) ?? [], box]);
    }
    return [...zones].sort(([a], [b]) => a.localeCompare(b)).map(([, ofZone]) => zoneRow(ofZone, advertised));
}

/** Columns of {@link zoneRows}. */
export const zoneColumns = ["region", "zone", "boxes", "in service", "carry", "load", "in flight"];

function zoneRow(boxes: readonly BoxWithMetrics[], advertised: ReadonlySet<string>): string[] {
    const [{ member: { region, zone } }] = boxes;
    const load = sum(boxes.map(({ member }) => member.load));
    const capacity = sum(boxes.map(({ member }) => member.capacity));
    return [
        region,
        zone,
        String(boxes.length),
        String(boxes.filter(({ member }) => isInService(member)).length),
        String(boxes.filter(({ member }) => advertised.has(member.box)).length),
        `${load.toFixed(2)}/${capacity.toFixed(2)} cores`,
        String(sum(boxes.map(box => valueIn(box, "callers_in_flight") ?? 0))),
    ];
}

/** Returns the boxes that differ from the others in what matters, those with most reasons first. */
export function findAnomalousBoxes(boxes: readonly BoxWithMetrics[]): AnomalousBox[] {
    const newestVersion = greatest(boxes, "configuration_version");
    const newestServers = greatest(boxes, "servers_revision");
    return boxes
        .map(box => ({ box, reasons: reasonsOf(box, newestVersion, newestServers, boxes.length) }))
        .filter(({ reasons }) => reasons.length > 0)
        .sort((a, b) => b.reasons.length - a.reasons.length);
}

function reasonsOf(box: BoxWithMetrics, newestVersion: number, newestServers: number, known: number): string[] {
    const { member, metrics } = box;
    const reasons: string[] = [];
    const add = (isOdd: boolean, reason: string) => {
        if (isOdd) {
            reasons.push(reason);
        }
    };
    add(metrics === undefined, "tells no metrics");
    add(member.leaving, "leaving");
    add(!member.ready && !member.leaving, "starting");
    add(member.load > member.capacity * busyPart, "busy");
    if (metrics === undefined) {
        return reasons;
    }
    const version = valueIn(box, "configuration_version");
    const alive = valueIn(box, "boxes_alive");
    add(version !== newestVersion, `configuration ${version ?? "none"}, newest ${newestVersion}`);
    add(valueIn(box, "servers_revision") !== newestServers, "older list of servers");
    add((valueIn(box, "store_lost_milliseconds") ?? 0) > 0, "no store");
    add(alive !== undefined && alive !== known, `knows ${alive} of ${known} boxes`);
    return reasons;
}

function valueIn({ metrics }: BoxWithMetrics, name: string): number | undefined {
    return metrics === undefined ? undefined : valueOf(metrics, name);
}

function greatest(boxes: readonly BoxWithMetrics[], name: string): number {
    return Math.max(...boxes.map(box => valueIn(box, name) ?? -Infinity));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
