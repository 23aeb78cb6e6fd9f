/**
 * Formats the quota metrics of a box in the Prometheus text format: a bounded
 * number of series, whatever the number of customers.
 *
 * Owns no state; the counts are read when the metrics are requested.
 */

import type { CustomerCounts } from "./customer-quotas.js";

/**
 * Maximum customers with separate series: those with the most refused requests, then those with the most admitted ones.
 * The others are summed up. Three lines each, about 20 KB in total.
 */
const maxCustomers = 100;
/** Label of the sum of all other customers; a customer with this id would share its series. */
const otherCustomers = "(others)";

/** Returns the metric lines. */
export function quotaMetricLines(counts: readonly CustomerCounts[]): readonly string[] {
    const sorted = [...counts].sort((a, b) => b.refused - a.refused || b.admitted - a.admitted);
    const others = sorted.slice(maxCustomers);
    const lines = sorted.slice(0, maxCustomers).flatMap(entry => linesOf(entry.customer, entry));
    if (others.length === 0) {
        return lines;
    }
    const sum = (count: (entry: CustomerCounts) => number) => others.reduce((total, entry) => total + count(entry), 0);
    const sumOfOthers = {
        admitted: sum(entry => entry.admitted),
        refused: sum(entry => entry.refused),
        rate: sum(entry => entry.rate),
    };
    return [...lines, ...linesOf(otherCustomers, sumOfOthers)];
}

function linesOf(customer: string, { admitted, rate, refused }: Omit<CustomerCounts, "customer">): readonly string[] {
    const label = `customer="${customer.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"")}"`;
    return [
        `chalkdale_customer_requests_total{${label},outcome="admitted"} ${admitted}`,
        `chalkdale_customer_requests_total{${label},outcome="quotaSpent"} ${refused}`,
        `chalkdale_customer_quota_rate{${label}} ${rate}`,
    ];
}
