/**
 * Chooses the boxes that the directory returns to a caller: boxes of the caller's availability zone if they have the
 * capacity, otherwise also advertised boxes of its region, or those of all regions if its region is unknown or has
 * none.
 *
 * Owns no state; relies on the members in service.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "../membership/member-record.js";
import { advertisedBoxes, advertisedBoxesOfRegion } from "./advertised-boxes.js";
import { boxesForZone } from "./zone-boxes.js";

/** The region and availability zone of a caller, as far as known. */
export interface CallerLocality {
    readonly region: RegionId | undefined;
    readonly zone: AvailabilityZoneId | undefined;
}

/** Maximum number of addresses in one answer; callers accept no more. */
const maxAddresses = 64;

/** Returns the addresses at which a caller can send requests. */
export function chooseBoxAddresses(inService: readonly MemberRecord[], locality: CallerLocality): string[] {
    const local = localBoxes(inService, locality);
    const chosen = local.length > 0 ? local : advertisedBoxes(inService);
    return chosen.slice(0, maxAddresses).map(record => record.callerAddress);
}

function localBoxes(inService: readonly MemberRecord[], { region, zone }: CallerLocality): readonly MemberRecord[] {
    if (region === undefined) {
        return [];
    }
    return zone === undefined ? advertisedBoxesOfRegion(inService, region) : boxesForZone(inService, region, zone);
}
