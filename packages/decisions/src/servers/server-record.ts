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
} from "@chalkdale/kernel";

/** One backend server as it was recorded. An id stands for one life of a server. */
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
    /** How much longer the server was cold when it wrote the record. */
    readonly coldFor: Milliseconds;
    /** Revision of the record in the store. */
    readonly revision: number;
}

/**
 * Time for a record to get from its writer to a box, at most in ordinary times: half of the shortest bound on changes. A cold
 * server counts as cold for so much longer. Not measured.
 */
export const recordDelay = milliseconds(1000);
