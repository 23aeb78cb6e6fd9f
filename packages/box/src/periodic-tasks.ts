/**
 * The periodic tasks of a box and their intervals.
 *
 * Owns the timers, which stop with the signal; the tasks belong to the box.
 */

import { gossipInterval } from "@chalkdale/decisions";
import { intervalStream } from "@chalkdale/runtime";

/** The tasks of each interval. */
export interface PeriodicTasks {
    /** Updates the box's own record, closes idle connections, removes ended servers, starts health checks. */
    readonly maintain: () => void;
    /** Prepares and sends reports in step with the rounds of gossip. */
    readonly gossip: () => void;
    /** Decides on roll-outs; undefined if the box has none. */
    readonly decideRollouts: (() => void) | undefined;
    /** Measures the load, and logs the retries and the counts of suppressed lines. */
    readonly measure: () => void;
    /** Logs the counts of all messages. */
    readonly reportTraffic: () => void;
    readonly signal: AbortSignal;
}

/** Milliseconds between two calls of `maintain`: less than a round of gossip. */
export const maintenanceInterval = 250;
/** Milliseconds between two decisions on roll-outs; requests to a bad version must stop within 5 s. */
const rolloutDecisionInterval = 250;
/** Milliseconds between two measurements of the load, and between two reports of suppressed lines. */
const measurementInterval = 1000;
/** Milliseconds between two log lines with the counts of all messages: few lines, but recent counts. */
const trafficReportInterval = 10_000;

/** Starts the timers of all tasks. */
export function startPeriodicTasks(
    { decideRollouts, gossip, measure, reportTraffic, signal, maintain }: PeriodicTasks,
): void {
    void intervalStream(maintenanceInterval, signal).observe(maintain);
    void intervalStream(gossipInterval, signal).observe(gossip);
    if (decideRollouts !== undefined) {
        void intervalStream(rolloutDecisionInterval, signal).observe(decideRollouts);
    }
    void intervalStream(measurementInterval, signal).observe(measure);
    void intervalStream(trafficReportInterval, signal).observe(reportTraffic);
}
