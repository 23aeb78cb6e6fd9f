/**
 * The kinds of shared state that boxes replicate.
 *
 * Owns nothing. The names are sent in messages between boxes, so they must not change.
 */

import type { AvailabilityZoneId } from "@chalkdale/kernel";
import type { RolloutOrder } from "../rollouts/rollout-order.js";
import type { BackendServerRecord } from "../servers/server-record.js";
import type { Configuration } from "./configuration.js";

/** The type of the items of each kind. */
export interface SharedItems {
    readonly configuration: Configuration;
    readonly servers: BackendServerRecord;
    /** Availability zones that operators have closed: they get no requests. */
    readonly closedZones: AvailabilityZoneId;
    /** Orders to move the requests of a service to servers of another version. */
    readonly rollouts: RolloutOrder;
}

/** A kind of shared state. */
export type SharedKind = keyof SharedItems;

/** All kinds, in a fixed order. */
export const sharedKinds: readonly SharedKind[] = ["configuration", "servers", "closedZones", "rollouts"];

/** Kinds that every box replicates; the others are replicated only if the settings enable them. */
export const requiredKinds = ["configuration", "servers", "closedZones"] as const satisfies readonly SharedKind[];

/**
 * Returns the kinds that a box replicates. A box without roll-outs makes no store calls and sends no bytes for their
 * orders.
 */
export function replicatedKinds(hasRollouts: boolean): readonly SharedKind[] {
    return hasRollouts ? sharedKinds : requiredKinds;
}
