/**
 * Which of a region's advertised boxes the directory names to the callers of one
 * availability zone: those of the zone, where they can bear them, so that bodies
 * do not cross zones on their way to a box.
 *
 * Callers choose among the addresses they get with equal chances, and where they are moves within seconds. So a zone's
 * boxes must be able to bear all callers of the region, also when the strongest of them is lost; as far as they are not, others
 * of the region join them. That goes by the load of the whole region, which is the same whoever is named: by the load of the
 * zone alone, naming its boxes would raise it, naming others lower it, and callers would move to and fro.
 *
 * All boxes compute the same answer from the members they know. Whoever is named here is an advertised box of the region.
 *
 * Owns no state; relies on the load and capacity that boxes put into gossip.
 */

import { type AvailabilityZoneId, hashText, type RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "../membership/member-record.js";
import { advertisedBoxesOfRegion } from "./advertised-boxes.js";

/** Boxes that a caller is named at least, as far as there are so many: one may be lost before anyone knows. */
const leastNamed = 2;
/**
 * Part of their capacity that the named boxes may use when the strongest is lost and all callers of the region are in the
 * zone; with callers spread evenly over two zones that is 0.2 of it and none lost.
 */
const usedAfterLoss = 0.8;

/** Returns the boxes for callers of a zone, in no order; none if its region has none. `inService` may hold boxes of all regions. */
export function boxesForZone(
    inService: readonly MemberRecord[],
    region: RegionId,
    zone: AvailabilityZoneId,
): readonly MemberRecord[] {
    const advertised = advertisedBoxesOfRegion(inService, region);
    const own = advertised.filter(record => record.zone === zone);
    if (own.length === 0) {
        return advertised;
    }
    const load = inService
        .filter(record => record.region === region)
        .reduce((sum, record) => sum + record.load, 0);
    const others = sortForZone(advertised.filter(record => record.zone !== zone), zone);
    let count = 0;
    while (count < others.length && !canBear([...own, ...others.slice(0, count)], load)) {
        count += 1;
    }
    return [...own, ...others.slice(0, count)];
}

function canBear(boxes: readonly MemberRecord[], load: number): boolean {
    const capacities = boxes.map(record => record.capacity);
    const afterLoss = capacities.reduce((sum, capacity) => sum + capacity, 0) - Math.max(...capacities);
    return boxes.length >= leastNamed && afterLoss * usedAfterLoss >= load;
}

/** The strongest first; which of equal ones differs from zone to zone, so that not every zone is helped by the same box. */
function sortForZone(boxes: readonly MemberRecord[], zone: AvailabilityZoneId): MemberRecord[] {
    const orderOf = ({ box }: MemberRecord) => hashText(`${zone} ${box}`);
    return [...boxes].sort((a, b) => b.capacity - a.capacity || orderOf(a) - orderOf(b));
}
