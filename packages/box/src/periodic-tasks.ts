/**
 * What a box does again and again, and how often.
 *
 * Owns the timers, which end with the signal; what is due belongs to the box.
 */

import { gossipInterval } from "@chalkdale/decisions";
import { intervalStream } from "@chalkdale/runtime";

/** What is due at each of the intervals below. */
export interface PeriodicTasks {
    /** The box's own record, idle connections, ended servers, health checks. */
    readonly maintain: () => void;
    /** Reports that go with gossip. */
    readonly gossip: () => void;
    /** Decisions on roll-outs; undefined where there are none. */
    readonly decideRollouts: (() => void) | undefined;
    /** The load, and the counts of lines that were left out. */
    readonly measure: () => void;
    readonly reportTraffic: () => void;
    readonly signal: AbortSignal;
}

/** Milliseconds between two rounds of the box's own upkeep: less than a round of gossip. */
export const maintenanceInterval = 250;
/** Milliseconds between two steps of the deciders of roll-outs; a bad version must get nothing within 5 s. */
const deciderInterval = 250;
/** Milliseconds between two measurements of the load, and between two counts of left out lines. */
const second = 1000;
/** Milliseconds between two lines with the counts of all messages: few lines, and none of them older than a look at the log. */
const trafficReportInterval = 10_000;

/** Begins all rounds. */
export function startPeriodicTasks(
    { decideRollouts: decide, gossip, measure, reportTraffic, signal, maintain: upkeep }: PeriodicTasks,
): void {
    void intervalStream(maintenanceInterval, signal).observe(upkeep);
    void intervalStream(gossipInterval, signal).observe(gossip);
    if (decide !== undefined) {
        void intervalStream(deciderInterval, signal).observe(decide);
    }
    void intervalStream(second, signal).observe(measure);
    void intervalStream(trafficReportInterval, signal).observe(reportTraffic);
}
