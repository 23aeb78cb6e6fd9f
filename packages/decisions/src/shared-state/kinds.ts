/**
 * The kinds of state that every box copies.
 *
 * The names stand in the messages between boxes.
 */

import type { AvailabilityZoneId } from "@chalkdale/kernel";
import type { BackendServerRecord } from "../servers/server-record.js";
import type { Configuration } from "./configuration.js";

/** What an item of each kind is. */
export interface SharedItems {
    readonly configuration: Configuration;
    readonly servers: BackendServerRecord;
    /** Availability zones that are to get no requests. */
    readonly closedZones: AvailabilityZoneId;
}

/** A kind of shared state. */
export type SharedKind = keyof SharedItems;

/** All kinds. */
export const sharedKinds: readonly SharedKind[] = ["configuration", "servers", "closedZones"];
