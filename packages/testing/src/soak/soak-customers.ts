/**
 * The customers of a soak run: their keys change with each version of the
 * configuration, and one of them has a quota.
 *
 * Owns which key is given out now, and from when on an older one must not be honoured.
 */

import type { TenantOptions } from "../standins/platform-objects.js";

/** A key as a caller holds it. */
export interface CallerKey {
    readonly customer: string;
    readonly key: string;
}

/** Customers of one run. */
export interface SoakCustomers {
    /** The key that a caller of a customer has now. */
    readonly callerKeyOf: (customer: string) => CallerKey;
    /** Gives out new keys; returns the customers as operators write them. */
    readonly rotateKeys: (version: number) => readonly TenantOptions[];
    /** From when on an earlier key must not be honoured; undefined for one that stands. */
    readonly keyInvalidFrom: (key: string) => number | undefined;
}

/** Customers by name with their quotas; the callers of a run ask some 100 requests a second together. */
const quotas: Readonly<Record<string, { readonly rate: number; readonly burst: number; }>> = {
    club: { rate: 0, burst: 0 },
    school: { rate: 200, burst: 200 },
};
/** Names of the customers. */
export const customerNames = Object.keys(quotas);

/** Creates customers without keys. `inForceWithin`: milliseconds for which an earlier key may still be honoured. */
export function createSoakCustomers(now: () => number, inForceWithin: number): SoakCustomers {
    const current = new Map<string, string>();
    const ends = new Map<string, number>();

    return {
        callerKeyOf: customer => ({ customer, key: current.get(customer) ?? "" }),
        rotateKeys(version) {
            return customerNames.map(name => {
                const earlier = current.get(name);
                if (earlier !== undefined) {
                    ends.set(earlier, now() + inForceWithin);
                }
                const key = `key-of-${name}-${version}`;
                current.set(name, key);
                return { name, keys: [key], ...quotas[name] };
            });
        },
        keyInvalidFrom: key => ends.get(key),
    };
}
