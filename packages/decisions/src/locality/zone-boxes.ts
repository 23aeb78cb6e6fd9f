/**
 * Selects which of a region's advertised boxes the directory returns to callers of one availability zone: boxes of that
 * zone if they have the capacity, so that request bodies don't cross zones on their way to a box.
 *
 * Callers choose among the returned addresses with equal probability, and their distribution over zones changes within
 * seconds. So a zone's boxes must have the capacity for all callers of the region, even without the one of highest
 * capacity; if they don't, other boxes of the region join them. The decision uses the load of the whole region, which
 * does not depend on the selection. With the load of the zone alone, selecting its boxes would raise that load and
 * selecting others would lower it, and callers would oscillate between zones.
 *
 * Every box computes the same selection from the members it knows. It contains only advertised boxes of the region.
 *
 * Owns no state; relies on the load and capacity in the boxes' gossiped records.
 */

import { type AvailabilityZoneId, hashText, type RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "../membership/member-record.js";
import { advertisedBoxesOfRegion } from "./advertised-boxes.js";

/** Minimum number of boxes in an answer, if there are that many: the loss of one may not be detected yet. */
const minBoxes = 2;
/**
 * Fraction of the selected boxes' capacity that may be in use after the loss of the strongest, with all callers of the
 * region in the zone. With callers spread evenly over two zones and no box lost, that is a fraction of 0.2.
 */
const maxUtilizationAfterLoss = 0.8;

/**
 * Returns the boxes for callers of a zone, in no particular order; empty if the region has none. `inService` may
 * contain boxes of all regions.
 */
export function boxesForZone(
    inService: readonly MemberRecord[],
    region: RegionId,
    zone: AvailabilityZoneId,
): readonly MemberRecord[] {
    const advertised = advertisedBoxesOfRegion(inService, region);
    const zoneBoxes = advertised.filter(record => record.zone === zone);
    if (zoneBoxes.length === 0) {
        return advertised;
    }
    const load = inService
        .filter(record => record.region === region)
        .reduce((sum, record) => sum + record.load, 0);
    const otherBoxes = sortForZone(advertised.filter(record => record.zone !== zone), zone);
    let count = 0;
    while (count < otherBoxes.length && !hasCapacity([...zoneBoxes, ...otherBoxes.slice(0, count)], load)) {
        count += 1;
    }
    return [...zoneBoxes, ...otherBoxes.slice(0, count)];
}

function hasCapacity(boxes: readonly MemberRecord[], load: number): boolean {
    const capacities = boxes.map(record => record.capacity);
    const afterLoss = capacities.reduce((sum, capacity) => sum + capacity, 0) - Math.max(...capacities);
    return boxes.length >= minBoxes && afterLoss * maxUtilizationAfterLoss >= load;
}

/**
 * Sorts by capacity, highest first. The order of equal boxes depends on the zone, so that zones are not all joined by
 * the same box.
 */
function sortForZone(boxes: readonly MemberRecord[], zone: AvailabilityZoneId): MemberRecord[] {
    const hashOf = ({ box }: MemberRecord) => hashText(`${zone} ${box}`);
    return [...boxes].sort((a, b) => b.capacity - a.capacity || hashOf(a) - hashOf(b));
}
