/**
 * What a box counts, in the Prometheus text format, version 0.0.4.
 *
 * Owns the counters and latency histograms since the start; gauges are read when
 * someone asks.
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Counters and latencies of one box. */
export interface BoxMetrics {
    /** A request of a caller ended. Latency in milliseconds. */
    readonly onRequestEnded: (route: string, outcome: string, latency: number) => void;
    /** An attempt at a server ended. */
    readonly onAttempt: (outcome: string) => void;
    /** A server answered with a success after so many milliseconds there. */
    readonly onServed: (duration: number) => void;
    readonly onLookup: () => void;
    /** A backend server has started again under its id. */
    readonly onServerRestarted: () => void;
    /** Returns the text; gauges are read now. */
    readonly text: (gauges: Readonly<Record<string, number | undefined>>) => string;
}

const prefix = "chalkdale";
const quantiles = [0.5, 0.9, 0.99, 0.999];
/** Longest latency that is recorded as it is, in milliseconds. */
const highestMilliseconds = 600_000;
/** Digits of a latency that count: few, since each more costs ten times the memory. */
const significantDigits = 2;
/** Latencies are recorded in tenths of a millisecond. */
const tenths = 10;

/** Creates metrics at zero. Latencies are kept to a tenth of a millisecond. */
export function createBoxMetrics(): BoxMetrics {
    const requests = new Map<string, number>();
    const attempts = new Map<string, number>();
    const whole = createHistogram();
    const atServer = createHistogram();
    let lookups = 0;
    let restarts = 0;

    return {
        onRequestEnded(route, outcome, latency) {
            increase(requests, `route="${route}",outcome="${outcome}"`);
            whole.recordValue(toTenths(latency));
        },
        onAttempt: outcome => increase(attempts, `outcome="${outcome}"`),
        onServed: duration => atServer.recordValue(toTenths(duration)),
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
                `${prefix}_lookups_total ${lookups}`,
                `${prefix}_servers_restarted_total ${restarts}`,
                ...histogramLines("request_milliseconds", whole),
                ...histogramLines("server_milliseconds", atServer),
                ...gaugeLines(gauges),
                "",
            ].join("\n");
        },
    };
}

function createHistogram(): Histogram {
    return build({
        bitBucketSize: 32,
        highestTrackableValue: highestMilliseconds * tenths,
        numberOfSignificantValueDigits: significantDigits,
    });
}

function toTenths(duration: number): number {
    return Math.min(highestMilliseconds * tenths, Math.max(1, Math.round(duration * tenths)));
}

function increase(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}

function counterLines(name: string, counts: ReadonlyMap<string, number>): string[] {
    return [...counts].map(([labels, count]) => `${prefix}_${name}{${labels}} ${count}`);
}

function histogramLines(name: string, histogram: Histogram): string[] {
    const lines = quantiles.map(quantile => {
        const value = histogram.getValueAtPercentile(quantile * 100) / tenths;
        return `${prefix}_${name}{quantile="${quantile}"} ${value}`;
    });
    return [...lines, `${prefix}_${name}_count ${histogram.totalCount}`];
}

function gaugeLines(gauges: Readonly<Record<string, number | undefined>>): string[] {
    return Object.entries(gauges)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${prefix}_${name} ${value}`);
}
