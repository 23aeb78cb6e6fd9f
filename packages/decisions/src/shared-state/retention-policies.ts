/**
 * For how long boxes keep entries that the store had acknowledged and lost when it was
 * restored, by kind: long enough for operators and servers to write them again, and not
 * so long that an outdated entry does harm.
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

/** A version that was in force is never replaced by an older one. */
const configuration: RetentionPolicy<Configuration> = {
    missingRetention: Infinity,
    deletedRetention: 0,
    outdatedRetention: Infinity,
    isOlder: (incoming, known) => incoming.version < known.version,
};

/**
 * A running server writes its record again within 2 s; a server that no longer runs must not get requests for long. The
 * old record of a server that was draining or deleted may be in the store until it lapses, after three heartbeats.
 */
const servers: RetentionPolicy<BackendServerRecord> = {
    missingRetention: 2500,
    deletedRetention: 6000,
    outdatedRetention: 6000,
    isOlder: isOlderRecord,
};

/**
 * A zone whose closure the store has lost stays closed for as long as operators may take to close it again. No closure
 * is older than another: a zone that the store lists as closed is closed.
 */
const closedZones: RetentionPolicy<AvailabilityZoneId> = {
    missingRetention: 10_000,
    deletedRetention: 0,
    outdatedRetention: 0,
    isOlder: () => false,
};

/** The boxes themselves write the state of an order, and write it again after a restore (`order-history`). */
const rollouts: RetentionPolicy<RolloutOrder> = {
    missingRetention: 10_000,
    deletedRetention: 10_000,
    outdatedRetention: 0,
    isOlder: () => false,
};

/** The retention policy of each kind. */
export const retentionPolicies: { readonly [Kind in SharedKind]: RetentionPolicy<SharedItems[Kind]>; } = {
    configuration,
    servers,
    closedZones,
    rollouts,
};

/** Within one incarnation, a record that is not draining is older than one that is. */
function isOlderRecord(incoming: BackendServerRecord, known: BackendServerRecord): boolean {
    switch (compareIncarnations(incoming, known)) {
        case "earlier":
            return true;
        case "later":
            return false;
        case "same":
            return known.draining && !incoming.draining;
    }
}
