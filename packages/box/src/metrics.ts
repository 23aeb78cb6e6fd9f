/**
 * Counters and latencies of a box in the Prometheus text format, version 0.0.4.
 *
 * Owns the counters and latency histograms since the start; gauges are passed in.
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Counters and latencies of one box. */
export interface BoxMetrics {
    /** Called when a caller's request ended. Latency in milliseconds. */
    readonly onRequestEnded: (route: string, outcome: string, latency: number) => void;
    /** Called when a request is dropped before its admission because its caller has left. */
    readonly onCallerLeftUnread: () => void;
    /** Called when a request is delayed until its customer's quota admits it. */
    readonly onDelayedByQuota: () => void;
    /** Called when an attempt is sent. `age`: upper bound of the time since the request arrived, in milliseconds. */
    readonly onSent: (age: number) => void;
    /** Called when an attempt at a server ended. */
    readonly onAttempt: (outcome: string) => void;
    /** Called when a server answered successfully. Duration at the server in milliseconds. */
    readonly onServed: (duration: number) => void;
    /** Called at each lookup in the directory. */
    readonly onLookup: () => void;
    /** Called when a backend server has restarted under its id. */
    readonly onServerRestarted: () => void;
    /** Returns all metrics as text; undefined gauges are left out. */
    readonly text: (gauges: Readonly<Record<string, number | undefined>>) => string;
}

const prefix = "chalkdale";
const quantiles = [0.5, 0.9, 0.99, 0.999];
/** Largest latency that is recorded, in milliseconds; longer ones are recorded as this. */
const maxLatency = 600_000;
/** Significant digits of a latency: few, since each further digit costs ten times the memory. */
const significantDigits = 2;
/** Latencies are recorded in tenths of a millisecond. */
const tenthsPerMillisecond = 10;

/** Creates metrics with all counters at zero. */
export function createBoxMetrics(): BoxMetrics {
    const requests = new Map<string, number>();
    const attempts = new Map<string, number>();
    const requestLatency = createHistogram();
    const serverLatency = createHistogram();
    const ageWhenSent = createHistogram();
    let leftUnread = 0;
    let delayed = 0;
    let lookups = 0;
    let restarts = 0;

    return {
        onRequestEnded(route, outcome, latency) {
            increment(requests, `route="${route}",outcome="${outcome}"`);
            requestLatency.recordValue(toTenths(latency));
        },
        onCallerLeftUnread: () => {
            leftUnread += 1;
        },
        onDelayedByQuota: () => {
            delayed += 1;
        },
        onSent: age => ageWhenSent.recordValue(toTenths(age)),
        onAttempt: outcome => increment(attempts, `outcome="${outcome}"`),
        onServed: duration => serverLatency.recordValue(toTenths(duration)),
        onLookup: () => {
            lookups += 1;
        },
        onServerRestarted: () => {
            restarts += 1;
        },
        text(gauges) {
            return [
                ...counterLines("requests_total", requests),
                ...counterLines("attempts_total", attempts),
                `${prefix}_callers_left_unread_total ${leftUnread}`,
                `${prefix}_delayed_by_quota_total ${delayed}`,
                `${prefix}_lookups_total ${lookups}`,
                `${prefix}_servers_restarted_total ${restarts}`,
                ...histogramLines("request_milliseconds", requestLatency),
                ...histogramLines("server_milliseconds", serverLatency),
                ...histogramLines("sent_age_milliseconds", ageWhenSent),
                ...gaugeLines(gauges),
                "",
            ].join("\n");
        },
    };
}

function createHistogram(): Histogram {
    return build({
        bitBucketSize: 32,
        highestTrackableValue: maxLatency * tenthsPerMillisecond,
        numberOfSignificantValueDigits: significantDigits,
    });
}

function toTenths(duration: number): number {
    return Math.min(maxLatency * tenthsPerMillisecond, Math.max(1, Math.round(duration * tenthsPerMillisecond)));
}

function increment(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}

function counterLines(name: string, counts: ReadonlyMap<string, number>): string[] {
    return [...counts].map(([labels, count]) => `${prefix}_${name}{${labels}} ${count}`);
}

function histogramLines(name: string, histogram: Histogram): string[] {
    const lines = quantiles.map(quantile => {
        const value = histogram.getValueAtPercentile(quantile * 100) / tenthsPerMillisecond;
        return `${prefix}_${name}{quantile="${quantile}"} ${value}`;
    });
    return [...lines, `${prefix}_${name}_count ${histogram.totalCount}`];
}

function gaugeLines(gauges: Readonly<Record<string, number | undefined>>): string[] {
    return Object.entries(gauges)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${prefix}_${name} ${value}`);
}
