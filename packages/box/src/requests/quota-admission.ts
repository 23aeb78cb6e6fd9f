/**
 * Admits a request by its customer's quota. A request that this box's share of the quota admits a little later is
 * delayed until then: its caller would get the same token by a retry, at the cost of a round trip.
 *
 * Owns nothing; relies on the quotas to admit few such requests in advance, and none of a customer beyond its quota.
 */

import { type Customer, maxQuotaWait, type QuotaDenial, requestTimeout, type Route } from "@chalkdale/decisions";
import { sleep } from "@chalkdale/runtime";
import type { CallerExchange } from "../callers/caller-exchange.js";
import type { HeaderNames } from "../callers/caller-protocol.js";
import type { BoxMetrics } from "../metrics.js";
import type { CustomerQuotas } from "../quotas/customer-quotas.js";

export interface QuotaAdmissionOptions {
    readonly metrics: Pick<BoxMetrics, "onDelayedByQuota">;
    readonly headers: Pick<HeaderNames, "deadline">;
    readonly quotas: Pick<CustomerQuotas, "consume" | "reserve" | "refund">;
}

/** What became of a request. */
export type QuotaAdmission =
    | { readonly kind: "admitted"; }
    | { readonly kind: "denied"; readonly denial: QuotaDenial; }
    /** Its caller left while it was delayed; it was refunded. */
    | { readonly kind: "callerLeft"; };

/** Returns the function that admits requests; its promise never rejects. */
export function createQuotaAdmission({ headers, metrics, quotas }: QuotaAdmissionOptions) {
    return async function admitByQuota(
        { caller, controller, request }: CallerExchange,
        customer: Customer,
        route: Route,
    ): Promise<QuotaAdmission> {
        const denial = quotas.consume(customer);
        if (denial === undefined) {
            return { kind: "admitted" };
        }
        const timeout = requestTimeout(Number(request.headers[headers.deadline]), route.timeout);
        if (!quotas.reserve(customer, denial, maxQuotaWait(timeout))) {
            return { kind: "denied", denial };
        }
        metrics.onDelayedByQuota();
        await sleep(denial.retryAfter, controller.signal);
        if (await caller.confirm()) {
            return { kind: "admitted" };
        }
        quotas.refund(customer);
        return { kind: "callerLeft" };
    };
}
