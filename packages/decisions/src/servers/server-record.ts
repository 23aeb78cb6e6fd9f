/**
 * Record of one backend server in discovery.
 *
 * Owns nothing; the field names are part of the snapshots between boxes.
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

/** Record of one incarnation of a backend server; a server may restart under its id. */
export interface BackendServerRecord {
    readonly id: BackendServerId;
    readonly service: ServiceId;
    /** Host and port, such as `192.0.2.7:8080`. */
    readonly address: string;
    readonly zone: AvailabilityZoneId;
    readonly region: RegionId;
    /** Requests that the server works on at once. */
    readonly slots: number;
    /** True once the server is to get no further requests. */
    readonly draining: boolean;
    /** Version of the server's software; undefined in snapshots of earlier releases. */
    readonly version?: ServerVersion;
    /** Revision of the store at which the server was first recorded; undefined in snapshots of earlier releases. */
    readonly createdAt?: number;
    /**
     * Start of this incarnation by the server's own clock; undefined in snapshots of earlier releases and if not
     * reported.
     */
    readonly bornAt?: UnixMilliseconds;
    /** Time for which the server was still going to be cold when it wrote the record. */
    readonly coldFor: Milliseconds;
    /** Revision of the record in the store. */
    readonly revision: number;
}

/**
 * Longest time in normal operation that a record takes from its writer to a box: half of the shortest bound on the
 * propagation of changes. A cold server counts as cold for this much longer.
 */
export const recordPropagationDelay = milliseconds(1000);
