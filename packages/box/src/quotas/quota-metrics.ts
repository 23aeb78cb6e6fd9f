/**
 * What a box tells of its customers' quotas, in the Prometheus text format: a
 * bounded number of series, whatever the number of customers.
 *
 * Owns nothing; the counts are read when someone asks.
 */

import type { CustomerCounts } from "./customer-quotas.js";

/**
 * Customers with series of their own: those of which most was refused, then those that asked most. The others are summed up.
 * Three lines each, some 20 KB in all.
 */
const mostCustomers = 100;
/** Label of the sum of all others; customers of this name would be counted with them. */
const otherCustomers = "(others)";

/** Returns the lines. */
export function quotaMetricLines(counts: readonly CustomerCounts[]): readonly string[] {
    const sorted = [...counts].sort((a, b) => b.refused - a.refused || b.admitted - a.admitted);
    const others = sorted.slice(mostCustomers);
    const lines = sorted.slice(0, mostCustomers).flatMap(entry => linesOf(entry.customer, entry));
    if (others.length === 0) {
        return lines;
    }
    const sum = (count: (entry: CustomerCounts) => number) => others.reduce((total, entry) => total + count(entry), 0);
    const rest = {
        admitted: sum(entry => entry.admitted),
        refused: sum(entry => entry.refused),
        rate: sum(entry => entry.rate),
    };
    return [...lines, ...linesOf(otherCustomers, rest)];
}

function linesOf(customer: string, { admitted, rate, refused }: Omit<CustomerCounts, "customer">): readonly string[] {
    const label = `customer="${customer.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"")}"`;
    return [
        `chalkdale_customer_requests_total{${label},outcome="admitted"} ${admitted}`,
        `chalkdale_customer_requests_total{${label},outcome="quotaSpent"} ${refused}`,
        `chalkdale_customer_quota_rate{${label}} ${rate}`,
    ];
}
