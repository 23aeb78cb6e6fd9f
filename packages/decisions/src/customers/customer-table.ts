/**
 * Finds customers by key and by id, with one look-up however many keys there are.
 *
 * Owns an index of one configuration; a new configuration gets a new table.
 */

import type { CustomerId, CustomerKey } from "@chalkdale/kernel";
import type { CallerAccess, Customer } from "../shared-state/configuration.js";

/** The customers of one configuration. */
export interface CustomerTable {
    /** True if requests need a key, except on public routes. */
    readonly isKeyRequired: boolean;
    readonly findByKey: (key: CustomerKey) => Customer | undefined;
    readonly findById: (id: CustomerId) => Customer | undefined;
}

/** Creates the table of a configuration. */
export function createCustomerTable(access: CallerAccess): CustomerTable {
    const customers = access.kind === "customers" ? access.customers : [];
    const byKey = new Map(customers.flatMap(customer => customer.keys.map(key => [key, customer] as const)));

    const byId = new Map(customers.map(customer => [customer.id, customer] as const));

    return {
        isKeyRequired: access.kind === "customers",
        findByKey: key => byKey.get(key),
        findById: id => byId.get(id),
    };
}
