/**
 * The quota that is divided among the boxes: the customer's quota and a part of the deployment's tolerance, since the
 * shares of a few requests are never exact.
 *
 * Owns no state.
 */

import type { CustomerQuota } from "../../shared-state/configuration.js";

/** By how much a deployment lets the requests of one window exceed a quota. */
export interface QuotaTolerance {
    /** Fraction of the quota by which it may be exceeded. */
    readonly over: number;
    /** Requests that may be admitted in addition. */
    readonly slack: number;
}

/** Fraction of `over` that is divided among the boxes. The remainder covers reports that are in transit. */
const usedFractionOfOver = 0.2;
/**
 * Fraction of `slack` that is divided among the boxes: a box's share for a customer with few callers is less than one
 * request.
 */
const usedFractionOfSlack = 0.6;

/** Returns the quota to divide among the boxes. */
export function effectiveQuota({ burst, rate }: CustomerQuota, { over, slack }: QuotaTolerance): CustomerQuota {
    return { rate: rate * (1 + over * usedFractionOfOver), burst: burst + slack * usedFractionOfSlack };
}
