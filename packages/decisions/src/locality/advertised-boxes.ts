/**
 * Selects the boxes that the directory returns to callers. The same boxes share the limits that apply to all boxes
 * together.
 *
 * Boxes differ in capacity, and callers choose among the returned addresses with equal probability. So much weaker
 * boxes are advertised only while the strong ones of their region are too few or too busy. Every box computes the same
 * selection from the members it knows, without coordination.
 *
 * Owns no state; relies on the load and capacity in the boxes' gossiped records.
 */

import type { BoxId, RegionId } from "@chalkdale/kernel";
import { type MemberRecord, sortByCapacity } from "../membership/member-record.js";

/** A box below this fraction of its region's greatest capacity is weak. Fleets mix boxes of 0.27 and of 1.35 cores. */
const weakCapacityFraction = 0.5;
/** Minimum number of advertised boxes of a region, if it has that many: one may be lost while another one stops. */
const minAdvertised = 3;
/**
 * Fraction of the advertised boxes' capacity above which weaker boxes join them. The remainder is for bursts and for
 * the loss of some boxes.
 */
const maxUtilization = 0.5;

/** Returns the advertised boxes of one region, highest capacity first. `inService` may contain boxes of all regions. */
export function advertisedBoxesOfRegion(inService: readonly MemberRecord[], region: RegionId): readonly MemberRecord[] {
    const boxes = sortByCapacity(inService.filter(record => record.region === region));
    if (boxes.length === 0) {
        return boxes;
    }
    const load = sum(boxes.map(record => record.load));
    const firstWeak = boxes.findIndex(record => record.capacity < boxes[0].capacity * weakCapacityFraction);
    let count = firstWeak < 0 ? boxes.length : firstWeak;
    while (count < boxes.length && (count < minAdvertised || areBusy(boxes.slice(0, count), load))) {
        count += 1;
    }
    return boxes.slice(0, count);
}

/** Returns the advertised boxes of all regions. */
export function advertisedBoxes(inService: readonly MemberRecord[]): readonly MemberRecord[] {
    const regions = [...new Set(inService.map(record => record.region))];
    return regions.flatMap(region => advertisedBoxesOfRegion(inService, region));
}

/**
 * Returns the boxes that may send to a cold or limited server of a region: the advertised boxes of that region or, if
 * it has none, of all regions.
 */
export function eligibleSenders(advertised: readonly MemberRecord[], region: RegionId): readonly BoxId[] {
    const inRegion = advertised.filter(record => record.region === region);
    return (inRegion.length > 0 ? inRegion : advertised).map(record => record.box);
}

function areBusy(boxes: readonly MemberRecord[], load: number): boolean {
    return sum(boxes.map(record => record.capacity)) * maxUtilization < load;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
