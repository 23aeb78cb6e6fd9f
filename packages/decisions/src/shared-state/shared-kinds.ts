/**
 * The kinds of state that boxes copy.
 *
 * The names stand in the messages between boxes.
 */

import type { AvailabilityZoneId } from "@chalkdale/kernel";
import type { RolloutOrder } from "../rollouts/rollout-order.js";
import type { BackendServerRecord } from "../servers/server-record.js";
import type { Configuration } from "./configuration.js";

/** What an item of each kind is. */
export interface SharedItems {
    readonly configuration: Configuration;
    readonly servers: BackendServerRecord;
    /** Availability zones that are to get no requests. */
    readonly closedZones: AvailabilityZoneId;
    /** Orders to move a service onto servers of another version. */
    readonly rollouts: RolloutOrder;
}

/** A kind of shared state. */
export type SharedKind = keyof SharedItems;

/** All kinds. */
export const sharedKinds: readonly SharedKind[] = ["configuration", "servers", "closedZones", "rollouts"];

/** Kinds that every box copies; the others are copied where the settings call for them. */
export const requiredKinds = ["configuration", "servers", "closedZones"] as const satisfies readonly SharedKind[];

/** Returns the kinds that a box copies: without roll-outs it makes no call and sends no byte for their orders. */
export function replicatedKinds(hasRollouts: boolean): readonly SharedKind[] {
    return hasRollouts ? sharedKinds : requiredKinds;
}
