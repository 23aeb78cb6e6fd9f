/**
 * The boxes that report on an order to the deciding box, and what their reports
 * say of the traffic as a whole.
 *
 * Owns the latest report of each box; relies on counts that only rise.
 */

import { type BoxId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { RolloutReport } from "./rollout-messages.js";

/** A box with its latest report. */
interface ReportingBox {
    readonly box: BoxId;
    readonly report: RolloutReport;
    readonly at: Milliseconds;
}

/** Boxes that report. */
export interface ReportingBoxes {
    readonly onReport: (box: BoxId, report: RolloutReport, at: Milliseconds) => void;
    /** Boxes heard of lately. */
    readonly active: (at: Milliseconds) => readonly ReportingBox[];
    /** True while most of the boxes that reported in the last seconds still do: else this box may be cut off, and another one decides. */
    readonly hasQuorum: (at: Milliseconds) => boolean;
    /** Requests a second of all boxes together, of the last seconds. */
    readonly rate: (at: Milliseconds) => number;
    /** Requests in progress at servers of other versions, at the boxes heard of lately. */
    readonly inProgressOnOtherVersions: (at: Milliseconds) => number;
}

/** Milliseconds after which a box counts as silent: several rounds of reports, lost ones included. */
const silentAfter = 2000;
/** Milliseconds after which a silent box counts as gone. */
const goneAfter = 8000;
/** Part of the boxes that must be heard of: a region of three may be lost with a third of them. */
const leastHeardPart = 0.6;
/** Milliseconds over which the rate is measured, at least. */
const rateWindow = 2000;
/** Milliseconds of a second, the unit of the rate. */
const second = 1000;

interface CountAt {
    readonly at: Milliseconds;
    readonly sent: number;
}

/** Creates the list; no box has reported. */
export function createReportingBoxes(): ReportingBoxes {
    const boxes = new Map<BoxId, ReportingBox>();
    let counts: CountAt[] = [];
    let sent = 0;

    return {
        onReport(box, report, at) {
            const known = boxes.get(box);
            const isSameLife = known?.report.incarnation === report.incarnation;
            if (isSameLife && report.sent < known.report.sent) {
                return;
            }
            // What a box that is new here sent before is no rate.
            sent += isSameLife ? report.sent - known.report.sent : 0;
            boxes.set(box, { box, report, at });
            const last = counts.at(-1);
            if (last === undefined || at > last.at) {
                counts = [...dropOld(counts, at), { at, sent }];
            }
        },
        active: fresh,
        hasQuorum(at) {
            const known = [...boxes.values()].filter(({ at: heardAt }) => at - heardAt < goneAfter);
            return fresh(at).length >= known.length * leastHeardPart;
        },
        rate(at) {
            const first = counts.at(0);
            const time = first === undefined ? 0 : at - first.at;
            return first === undefined || time <= 0 ? 0 : (sent - first.sent) * second / time;
        },
        inProgressOnOtherVersions: at =>
            fresh(at).reduce((sum, { report }) => sum + report.inProgressOnOtherVersions, 0),
    };

    function fresh(at: Milliseconds): readonly ReportingBox[] {
        return [...boxes.values()].filter(({ at: heardAt }) => at - heardAt < silentAfter);
    }
}

/** Keeps the latest count that is older than the window, and those after it. */
function dropOld(counts: readonly CountAt[], at: Milliseconds): CountAt[] {
    const start = counts.findLastIndex(count => at - count.at >= rateWindow);
    return counts.slice(Math.max(0, start));
}

/** Mean time of a request, by Little's law. Returns undefined without requests. */
export function estimateMeanRequestTime(inProgress: number, rate: number): Milliseconds | undefined {
    return rate <= 0 ? undefined : milliseconds(inProgress / rate * second);
}
