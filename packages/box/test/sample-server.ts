/**
 * A backend server as tests of the box know it.
 */

import { type BackendServerRecord, createServerState, createSlowStart, type ServerState } from "@chalkdale/decisions";
import {
    availabilityZoneId,
    backendServerId,
    boxId,
    type Milliseconds,
    milliseconds,
    regionId,
    serviceId,
} from "@chalkdale/kernel";

/** The service of all sample servers. */
export const sampleService = serviceId("profiles");

/** Slots of each sample server. */
export const sampleSlots = 4;

/** Returns the record of a server that is neither draining nor cold. */
export function createSampleRecord(name: string): BackendServerRecord {
    return {
        id: backendServerId(name),
        service: sampleService,
        address: "192.0.2.1:80",
        zone: availabilityZoneId("north-a"),
        region: regionId("north"),
        slots: sampleSlots,
        draining: false,
        coldFor: milliseconds(0),
        revision: 1,
    };
}

/** Creates the state of a server for a box that is no sender in its slow start. */
export function createSampleState(record: BackendServerRecord, at: Milliseconds): ServerState {
    const slowStart = createSlowStart({ self: boxId("a"), server: record.id, boxes: () => [], rate: () => 1 });
    return createServerState(record, at, {
        recordPropagationDelay: milliseconds(0),
        slowStart,
        createLimitShare: () => slowStart,
    });
}
