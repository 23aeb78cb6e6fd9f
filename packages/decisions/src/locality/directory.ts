/**
 * Chooses the boxes that the directory names to a caller: those of its availability
 * zone where they can bear its callers, else the advertised boxes of its region, or
 * those of the other regions if its own has none.
 *
 * Owns no state; relies on the members in service.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "../membership/member-record.js";
import { advertisedBoxes, advertisedBoxesOfRegion } from "./advertised-boxes.js";
import { boxesForZone } from "./zone-boxes.js";

/** Where a caller is. */
export interface CallerLocality {
    readonly region: RegionId | undefined;
    readonly zone: AvailabilityZoneId | undefined;
}

/** Boxes named in one answer at most; callers take no more. */
const mostAddresses = 64;

/** Returns the addresses for a caller. */
export function chooseBoxAddresses(inService: readonly MemberRecord[], place: CallerLocality): string[] {
    const near = nearBoxes(inService, place);
    const chosen = near.length > 0 ? near : advertisedBoxes(inService);
    return chosen.slice(0, mostAddresses).map(record => record.callerAddress);
}

function nearBoxes(inService: readonly MemberRecord[], { region, zone }: CallerLocality): readonly MemberRecord[] {
    if (region === undefined) {
        return [];
    }
    return zone === undefined ? advertisedBoxesOfRegion(inService, region) : boxesForZone(inService, region, zone);
}
