/**
 * Sample records of boxes for tests.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { availabilityZoneId, boxId, incarnationId, regionId } from "@chalkdale/kernel";

/** Returns the record of a box that is ready and not leaving. */
export function sampleMember(name: string): MemberRecord {
    return {
        box: boxId(name),
        incarnation: incarnationId("1"),
        heartbeat: 0,
        ready: true,
        leaving: false,
        region: regionId("north"),
        zone: availabilityZoneId("north-a"),
        peerAddress: "192.0.2.1:1",
        callerAddress: "192.0.2.1:2",
        capacity: 1,
        load: 0,
    };
}
