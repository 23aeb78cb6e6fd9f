/**
 * Chooses the boxes that a caller is told to use: the carriers of its region,
 * or those of the other regions if its own has none.
 */

import type { RegionId, ZoneId } from "@chalkdale/kernel";
import { allCarriers, carriersOfRegion } from "./carriers.js";
import type { MemberRecord } from "./membership.js";

/** Where a caller is. */
export interface CallerPlace {
    readonly region: RegionId | undefined;
    readonly zone: ZoneId | undefined;
}

/** Boxes named in one answer at most. */
const mostAddresses = 64;

/** Returns the addresses for a caller. */
export function chooseBoxes(inService: readonly MemberRecord[], place: CallerPlace): string[] {
    const ofRegion = place.region === undefined ? [] : carriersOfRegion(inService, place.region);
    const chosen = ofRegion.length > 0 ? ofRegion : allCarriers(inService);
    return chosen.slice(0, mostAddresses).map(record => record.callerAddress);
}
