/**
 * Which boxes the directory names to callers, and so which boxes share what is
 * bounded for all of them together.
 *
 * Boxes differ in what they can carry. Callers choose among the addresses they
 * get with equal chances, so much weaker boxes are advertised only when the
 * strong ones of the region are too few or too busy. Every box computes the
 * same answer from the members it knows; nobody coordinates.
 *
 * Owns no state; relies on the load and capacity that boxes put into gossip.
 */

import type { BoxId, RegionId } from "@chalkdale/kernel";
import { type MemberRecord, sortByCapacity } from "../membership/member-record.js";

/**
 * A box with less than this part of the region's greatest capacity counts as weak. Fleets mix boxes of 0.27 and of
 * 1.35 cores.
 */
const weakBelow = 0.5;
/** Boxes of a region that are advertised at least, as far as it has so many: one may be lost and one may stop. */
const leastAdvertised = 3;
/**
 * Part of their capacity that the advertised boxes use at most before weaker ones join them: the rest is for a burst, and for
 * the loss of some.
 */
const usedCapacity = 0.5;

/** Returns the advertised boxes of one region, the strongest first. `inService` may hold boxes of all regions. */
export function advertisedBoxesOfRegion(inService: readonly MemberRecord[], region: RegionId): readonly MemberRecord[] {
    const boxes = sortByCapacity(inService.filter(record => record.region === region));
    if (boxes.length === 0) {
        return boxes;
    }
    const load = sum(boxes.map(record => record.load));
    const firstWeak = boxes.findIndex(record => record.capacity < boxes[0].capacity * weakBelow);
    let count = firstWeak < 0 ? boxes.length : firstWeak;
    while (count < boxes.length && (count < leastAdvertised || areBusy(boxes.slice(0, count), load))) {
        count += 1;
    }
    return boxes.slice(0, count);
}

/** Returns the advertised boxes of all regions. */
export function advertisedBoxes(inService: readonly MemberRecord[]): readonly MemberRecord[] {
    const regions = [...new Set(inService.map(record => record.region))];
    return regions.flatMap(region => advertisedBoxesOfRegion(inService, region));
}

/** Returns the boxes that may send to a cold or limited server of a region: the region's own advertised boxes, if it has any. */
export function eligibleSenders(advertised: readonly MemberRecord[], region: RegionId): readonly BoxId[] {
    const ofRegion = advertised.filter(record => record.region === region);
    return (ofRegion.length > 0 ? ofRegion : advertised).map(record => record.box);
}

function areBusy(boxes: readonly MemberRecord[], load: number): boolean {
    return sum(boxes.map(record => record.capacity)) * usedCapacity < load;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
