/**
 * Finds customers, by their keys above all: one look-up, however many keys there are.
 *
 * Owns an index of one configuration; a new configuration gets a new table.
 */

import type { CustomerId, CustomerKey } from "@chalkdale/kernel";
import type { CallerAccess, Customer } from "../shared-state/configuration.js";

/** Finds customers. */
export interface KeyTable {
    /** True if a request needs a key, unless its route is public. */
    readonly isKeyNeeded: boolean;
    readonly customerOf: (key: CustomerKey) => Customer | undefined;
    readonly find: (id: CustomerId) => Customer | undefined;
}

/** Creates the table of a configuration. */
export function createKeyTable(access: CallerAccess): KeyTable {
    const customers = access.kind === "customers" ? access.customers : [];
    const byKey = new Map(customers.flatMap(customer => customer.keys.map(key => [key, customer] as const)));

    const byId = new Map(customers.map(customer => [customer.id, customer] as const));

    return {
        isKeyNeeded: access.kind === "customers",
        customerOf: key => byKey.get(key),
        find: id => byId.get(id),
    };
}
