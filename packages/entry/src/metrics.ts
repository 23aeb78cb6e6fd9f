/**
 * What an entry program counts, for operators.
 */

import type { ErrorKind } from "@chalkdale/core";
import { build, type Histogram } from "hdr-histogram-js";

/** Counters and latencies of one entry program. */
export interface Metrics {
    /** Notes the end of a request; the latency is in milliseconds. */
    readonly ended: (
        service: string,
        zone: string,
        outcome: "answered" | "brokenOff" | ErrorKind,
        latency: number,
    ) => void;
    readonly lookup: () => void;
    /** Returns the Prometheus text format, version 0.0.4. */
    readonly text: (gauges: Readonly<Record<string, number>>) => string;
    /** Returns totals for status pages. */
    readonly totals: () => Readonly<Record<string, number>>;
}

const highestMicroseconds = 3_600_000_000;
const significantDigits = 2;
const quantiles = [0.5, 0.9, 0.99, 0.999];

/** Creates metrics at zero. */
export function createMetrics(): Metrics {
    const requests = new Map<string, number>();
    const latencies = new Map<string, Histogram>();
    let lookups = 0;

    return {
        ended(service, zone, outcome, latency) {
            const key = `service="${service}",zone="${zone}",outcome="${outcome}"`;
            requests.set(key, (requests.get(key) ?? 0) + 1);
            if (outcome === "answered") {
                histogramOf(service).recordValue(Math.max(1, Math.round(latency * 1000)));
            }
        },
        lookup() {
            lookups++;
        },
        text: gauges =>
            [
                "# TYPE chalkdale_lookups_total counter",
                `chalkdale_lookups_total ${lookups}`,
                "# TYPE chalkdale_requests_total counter",
                ...[...requests].map(([labels, count]) => `chalkdale_requests_total{${labels}} ${count}`),
                "# TYPE chalkdale_request_seconds summary",
                ...[...latencies].flatMap(([service, histogram]) => summaryOf(service, histogram)),
                ...Object.entries(gauges).flatMap(([name, value]) => [`# TYPE ${name} gauge`, `${name} ${value}`]),
                "",
            ].join("\n"),
        totals: () => ({ lookups, ...Object.fromEntries(requests) }),
    };

    function histogramOf(service: string): Histogram {
        let histogram = latencies.get(service);
        if (histogram === undefined) {
            histogram = build({
                highestTrackableValue: highestMicroseconds,
                numberOfSignificantValueDigits: significantDigits,
                useWebAssembly: false,
            });
            latencies.set(service, histogram);
        }
        return histogram;
    }
}

function summaryOf(service: string, histogram: Histogram): string[] {
    const lines = quantiles.map(quantile => {
        const value = histogram.getValueAtPercentile(quantile * 100) / 1e6;
        return `chalkdale_request_seconds{service="${service}",quantile="${quantile}"} ${value}`;
    });
    const sum = histogram.mean * histogram.totalCount / 1e6;
    return [
        ...lines,
        `chalkdale_request_seconds_sum{service="${service}"} ${sum}`,
        `chalkdale_request_seconds_count{service="${service}"} ${histogram.totalCount}`,
    ];
}
