/**
 * For how long boxes go on believing what the store had acknowledged and lost, by
 * kind: until the operators and the servers have written it again, and no longer than it may do harm.
 *
 * Owns nothing.
 */

import type { AvailabilityZoneId } from "@chalkdale/kernel";
import type { RolloutOrder } from "../rollouts/rollout-order.js";
import { compareIncarnations } from "../servers/server-incarnation.js";
import type { BackendServerRecord } from "../servers/server-record.js";
import type { Configuration } from "./configuration.js";
import type { RetentionPolicy } from "./held-entries.js";
import type { SharedItems, SharedKind } from "./shared-kinds.js";

/** A version that was in force never gives way to an older one. */
const configuration: RetentionPolicy<Configuration> = {
    missingRetention: Infinity,
    deletedRetention: 0,
    outdatedRetention: Infinity,
    isOlder: (told, known) => told.version < known.version,
};

/**
 * A server that lives writes its record again within 2 s; one that doesn't must not get requests for long. One that was leaving or
 * had gone may have an old record until that lapses, after three heartbeats.
 */
const servers: RetentionPolicy<BackendServerRecord> = {
    missingRetention: 2500,
    deletedRetention: 6000,
    outdatedRetention: 6000,
    isOlder: isOlderRecord,
};

/** A zone stays closed for as long as operators may take to write again. One that is listed as closed is closed. */
const closedZones: RetentionPolicy<AvailabilityZoneId> = {
    missingRetention: 10_000,
    deletedRetention: 0,
    outdatedRetention: 0,
    isOlder: () => false,
};

/** The state of an order is the boxes' own word, which they write again (`restored-orders`). */
const rollouts: RetentionPolicy<RolloutOrder> = {
    missingRetention: 10_000,
    deletedRetention: 10_000,
    outdatedRetention: 0,
    isOlder: () => false,
};

/** The policies by kind. */
export const retentionPolicies: { readonly [Kind in SharedKind]: RetentionPolicy<SharedItems[Kind]>; } = {
    configuration,
    servers,
    closedZones,
    rollouts,
};

/** Of one life the record before it was leaving is the older one. */
function isOlderRecord(told: BackendServerRecord, known: BackendServerRecord): boolean {
    switch (compareIncarnations(told, known)) {
        case "earlier":
            return true;
        case "later":
            return false;
        case "same":
            return known.draining && !told.draining;
    }
}
