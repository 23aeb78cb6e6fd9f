/**
 * The quota that boxes share out: the customer's, and a part of what the
 * deployment tolerates beyond it, since parts of a small number of requests are
 * never exact.
 *
 * Owns no state.
 */

import type { CustomerQuota } from "../../shared-state/configuration.js";

/** What a deployment tolerates in one window. */
export interface QuotaTolerance {
    /** Part of the quota beyond it. */
    readonly over: number;
    /** Requests beyond that. */
    readonly slack: number;
}

/** Part of the tolerated part that is used; the rest covers reports that are on the way. */
const usedPartOfOver = 0.2;
/** The same of the tolerated requests: the parts of a customer with few callers are less than a request. */
const usedPartOfSlack = 0.6;

/** Returns the quota to share out. */
export function effectiveQuota({ burst, rate }: CustomerQuota, { over, slack }: QuotaTolerance): CustomerQuota {
    return { rate: rate * (1 + over * usedPartOfOver), burst: burst + slack * usedPartOfSlack };
}
