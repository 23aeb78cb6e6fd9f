/**
 * The boxes that report on an order to the deciding box, and the totals of their
 * traffic.
 *
 * Owns the latest report of each box. Relies on cumulative counts.
 */

import { type BoxId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { RolloutReport } from "./rollout-messages.js";

/** A box, its latest report, and when that arrived. */
interface ReportingBox {
    readonly box: BoxId;
    readonly report: RolloutReport;
    readonly at: Milliseconds;
}

/** The boxes that report on one order. */
export interface ReportingBoxes {
    readonly onReport: (box: BoxId, report: RolloutReport, at: Milliseconds) => void;
    /** Boxes that reported within `silenceTimeout`. */
    readonly active: (at: Milliseconds) => readonly ReportingBox[];
    /**
     * True while most of the boxes that reported within `removalTimeout` are still active. Otherwise this box
     * may be partitioned from the others while another box decides.
     */
    readonly hasQuorum: (at: Milliseconds) => boolean;
    /** Requests per second of all boxes together, over the last seconds. */
    readonly rate: (at: Milliseconds) => number;
    /** Requests of the active boxes that are in progress at servers of other versions. */
    readonly inProgressOnOtherVersions: (at: Milliseconds) => number;
}

/**
 * Milliseconds without a report after which a box is not active: several reporting rounds, so that lost reports
 * don't matter.
 */
const silenceTimeout = 2000;
/** Milliseconds without a report after which a box no longer counts towards the quorum. */
const removalTimeout = 8000;
/**
 * Fraction of the boxes that must be active. The loss of one of three regions, with a third of the boxes, must
 * not break the quorum.
 */
const quorumFraction = 0.6;
/** Minimum length in milliseconds of the window over which the rate is measured, once there are reports that old. */
const rateWindow = 2000;
/** One second in milliseconds; rates are in requests per second. */
const second = 1000;

interface SentCount {
    readonly at: Milliseconds;
    readonly sent: number;
}

/** Creates an empty list. */
export function createReportingBoxes(): ReportingBoxes {
    const boxes = new Map<BoxId, ReportingBox>();
    let counts: SentCount[] = [];
    let sent = 0;

    return {
        onReport(box, report, at) {
            const known = boxes.get(box);
            const isSameIncarnation = known?.report.incarnation === report.incarnation;
            if (isSameIncarnation && report.sent < known.report.sent) {
                return;
            }
            // The first report of a box incarnation counts requests of an unknown period, so it adds nothing to
            // the rate.
            sent += isSameIncarnation ? report.sent - known.report.sent : 0;
            boxes.set(box, { box, report, at });
            const last = counts.at(-1);
            if (last === undefined || at > last.at) {
                counts = [...dropOldCounts(counts, at), { at, sent }];
            }
        },
        active: activeBoxes,
        hasQuorum(at) {
            const known = [...boxes.values()].filter(({ at: reportedAt }) => at - reportedAt < removalTimeout);
            return activeBoxes(at).length >= known.length * quorumFraction;
        },
        rate(at) {
            const first = counts.at(0);
            const elapsed = first === undefined ? 0 : at - first.at;
            return first === undefined || elapsed <= 0 ? 0 : (sent - first.sent) * second / elapsed;
        },
        inProgressOnOtherVersions: at =>
            activeBoxes(at).reduce((sum, { report }) => sum + report.inProgressOnOtherVersions, 0),
    };

    function activeBoxes(at: Milliseconds): readonly ReportingBox[] {
        return [...boxes.values()].filter(({ at: reportedAt }) => at - reportedAt < silenceTimeout);
    }
}

/** Drops the counts before the latest one that is at least as old as the window. */
function dropOldCounts(counts: readonly SentCount[], at: Milliseconds): SentCount[] {
    const start = counts.findLastIndex(count => at - count.at >= rateWindow);
    return counts.slice(Math.max(0, start));
}

/** Returns the mean time of a request by Little's law; undefined if the rate is 0. */
export function estimateMeanRequestTime(inProgress: number, rate: number): Milliseconds | undefined {
    return rate <= 0 ? undefined : milliseconds(inProgress / rate * second);
}
