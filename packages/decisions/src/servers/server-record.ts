/**
 * What discovery says about one backend server.
 *
 * Owns nothing; the fields stand in the snapshots between boxes.
 */

import {
    type AvailabilityZoneId,
    type BackendServerId,
    type Milliseconds,
    milliseconds,
    type RegionId,
    type ServerVersion,
    type ServiceId,
    type UnixMilliseconds,
} from "@chalkdale/kernel";

/** One backend server as it was recorded, in one of its lives: it may start again under its id. */
export interface BackendServerRecord {
    readonly id: BackendServerId;
    readonly service: ServiceId;
    /** Host and port, for instance `192.0.2.7:8080`. */
    readonly address: string;
    readonly zone: AvailabilityZoneId;
    readonly region: RegionId;
    /** Requests that the server works on at once. */
    readonly slots: number;
    readonly draining: boolean;
    /** Version of its software; undefined in copies of earlier releases. */
    readonly version?: ServerVersion;
    /** Revision of the store when the server was recorded first; undefined in copies of earlier releases. */
    readonly createdAt?: number;
    /** When this life began, by the server's own clock; undefined in copies of earlier releases, and where it isn't told. */
    readonly bornAt?: UnixMilliseconds;
    /** How much longer the server was cold when it wrote the record. */
    readonly coldFor: Milliseconds;
    /** Revision of the record in the store. */
    readonly revision: number;
}

/**
 * Time for a record to get from its writer to a box, at most in ordinary times: half of the shortest bound on changes. A cold
 * server counts as cold for so much longer.
 */
export const recordPropagationDelay = milliseconds(1000);
