/**
 * Which boxes carry the callers' traffic.
 *
 * Boxes differ in what they can carry. Callers choose among the addresses they
 * are told with equal chances, so much weaker boxes are told only when the
 * strong ones of the region are too few or too busy. Every box computes the
 * same answer from the members it knows; nobody coordinates.
 */

import { type BoxId, hashText, type RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "../membership/membership.js";

/** A box with less than this part of the region's greatest capacity counts as weak. */
const weakBelow = 0.5;
/** Carriers of a region at least, as far as it has so many boxes. */
const leastAdvertised = 3;
/** Part of their capacity that carriers use at most before weaker boxes join them. */
const usedCapacity = 0.5;

/** Returns the carriers of one region, the strongest first. `inService` may hold boxes of all regions. */
export function advertisedBoxesOfRegion(inService: readonly MemberRecord[], region: RegionId): readonly MemberRecord[] {
    const boxes = inService.filter(record => record.region === region).sort(byCapacity);
    if (boxes.length === 0) {
        return boxes;
    }
    const load = sum(boxes.map(record => record.load));
    let count = boxes.findIndex(record => record.capacity < boxes[0].capacity * weakBelow);
    count = count < 0 ? boxes.length : count;
    while (count < boxes.length && (count < leastAdvertised || isBusy(boxes.slice(0, count), load))) {
        count += 1;
    }
    return boxes.slice(0, count);
}

/** Returns the carriers of all regions. */
export function advertisedBoxes(inService: readonly MemberRecord[]): readonly MemberRecord[] {
    const regions = [...new Set(inService.map(record => record.region))];
    return regions.flatMap(region => advertisedBoxesOfRegion(inService, region));
}

function isBusy(carriers: readonly MemberRecord[], load: number): boolean {
    return sum(carriers.map(record => record.capacity)) * usedCapacity < load;
}

/** Strongest first; boxes of equal capacity stand in an order of their own that is the same everywhere. */
function byCapacity(a: MemberRecord, b: MemberRecord): number {
    return b.capacity - a.capacity || hashText(a.box) - hashText(b.box);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/** Returns the boxes among which the senders to a cold server of a region are chosen: its own carriers, if it has any. */
export function slowStartSenders(carriers: readonly MemberRecord[], region: RegionId): readonly BoxId[] {
    const ofRegion = carriers.filter(record => record.region === region);
    return (ofRegion.length > 0 ? ofRegion : carriers).map(record => record.box);
}
