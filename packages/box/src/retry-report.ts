/**
 * Reports the retries of a box by service, as log lines and as metrics. Added up over all boxes, they show how much of
 * the retry budget was used in a window, and why a box had retries left.
 *
 * Owns the counts of the last lines.
 */

import type { RetryBudgetSummary } from "@chalkdale/decisions";
import type { ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";

type RetryBudgets = ReadonlyMap<ServiceId, RetryBudgetSummary>;

/** Returns a function that logs the budgets of services in which retries were asked for since its last call. */
export function createRetryReport(log: Log): (budgets: RetryBudgets) => void {
    const askedBefore = new Map<ServiceId, number>();

    return function report(budgets) {
        for (const [service, summary] of budgets) {
            const { boxCount, denied, granted, requests, retries, tokens } = summary;
            const asked = granted + denied;
            if (asked > (askedBefore.get(service) ?? 0)) {
                askedBefore.set(service, asked);
                log.info("retries.counted", {
                    service,
                    boxes: boxCount,
                    tokens: tokens.toFixed(1),
                    requests,
                    retries,
                    granted,
                    denied,
                });
            }
        }
    };
}

/** Returns the metric lines. */
export function retryMetricLines(budgets: RetryBudgets): readonly string[] {
    return [...budgets].flatMap(([service, { boxCount, denied, granted, requests, retries, tokens }]) => [
        `chalkdale_retries_total{service="${service}",outcome="granted"} ${granted}`,
        `chalkdale_retries_total{service="${service}",outcome="denied"} ${denied}`,
        `chalkdale_retry_window{service="${service}",of="requests"} ${requests}`,
        `chalkdale_retry_window{service="${service}",of="retries"} ${retries}`,
        `chalkdale_retry_tokens{service="${service}"} ${tokens.toFixed(1)}`,
        `chalkdale_retry_boxes{service="${service}"} ${boxCount === Infinity ? "+Inf" : boxCount}`,
    ]);
}
