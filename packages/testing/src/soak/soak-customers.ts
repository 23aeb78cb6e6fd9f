/**
 * The customers of a soak run: their keys change with each version of the
 * configuration, and one of them has a quota.
 *
 * Owns the current key of each customer and when an earlier key becomes invalid.
 */

import type { TenantOptions } from "../standins/platform-objects.js";

/** A key and the customer whose callers use it. */
export interface CallerKey {
    readonly customer: string;
    readonly key: string;
}

/** The customers of one run. */
export interface SoakCustomers {
    /** Returns the customer's current key. */
    readonly callerKeyOf: (customer: string) => CallerKey;
    /** Gives each customer a new key; returns the customers as operators write them into the configuration. */
    readonly rotateKeys: (version: number) => readonly TenantOptions[];
    /** Time from which an earlier key must not be accepted; undefined for a valid key. */
    readonly keyInvalidFrom: (key: string) => number | undefined;
}

/** Quotas by customer; a rate of 0 is no quota. All callers of a run together send about 100 requests per second. */
const quotas: Readonly<Record<string, { readonly rate: number; readonly burst: number; }>> = {
    club: { rate: 0, burst: 0 },
    school: { rate: 200, burst: 200 },
};
/** Names of the customers. */
export const customerNames = Object.keys(quotas);

/** Creates customers without keys. `inForceWithin`: milliseconds for which an earlier key may still be accepted. */
export function createSoakCustomers(now: () => number, inForceWithin: number): SoakCustomers {
    const currentKeys = new Map<string, string>();
    const invalidFrom = new Map<string, number>();

    return {
        callerKeyOf: customer => ({ customer, key: currentKeys.get(customer) ?? "" }),
        rotateKeys(version) {
            return customerNames.map(name => {
                const earlier = currentKeys.get(name);
                if (earlier !== undefined) {
                    invalidFrom.set(earlier, now() + inForceWithin);
                }
                const key = `key-of-${name}-${version}`;
                currentKeys.set(name, key);
                return { name, keys: [key], ...quotas[name] };
            });
        },
        keyInvalidFrom: key => invalidFrom.get(key),
    };
}
