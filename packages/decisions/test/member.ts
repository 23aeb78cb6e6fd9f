import { availabilityZoneId, boxId, incarnationId, regionId } from "@chalkdale/kernel";
import type { MemberRecord } from "../src/index.js";

/** Returns the record of a box in the region `north`, with changes. */
export function createMember(box: string, changes: Partial<MemberRecord> = {}): MemberRecord {
    return {
        box: boxId(box),
        incarnation: incarnationId("1"),
        heartbeat: 1,
        leaving: false,
        ready: true,
        region: regionId("north"),
        zone: availabilityZoneId("north-a"),
        peerAddress: `${box}:1`,
        callerAddress: `${box}:2`,
        capacity: 1,
        load: 0,
        ...changes,
    };
}
