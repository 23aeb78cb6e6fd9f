/**
 * When anyone last heard from a box of each region. A region from which nobody
 * hears anything counts as failed as a whole.
 *
 * Owns the latest time for each region; relies on messages for ages, since
 * nobody compares clocks.
 */

import type { Milliseconds, RegionId } from "@chalkdale/kernel";
import { maxMessageDelay, regionFailureTimeout } from "./membership-times.js";

/** Regions, and how long they have been silent. */
export interface RegionLiveness {
    /** This box has heard from a box of the region. */
    readonly onHeard: (region: RegionId, at: Milliseconds) => void;
    /** Another box tells how long ago anyone has heard from each region, in milliseconds. */
    readonly merge: (ages: ReadonlyMap<RegionId, number>, at: Milliseconds) => void;
    /** Milliseconds since anyone heard from a box of each region. */
    readonly ages: (at: Milliseconds) => ReadonlyMap<RegionId, number>;
    /** True for a region that is heard of; one that never was is given time from now on. */
    readonly isAlive: (region: RegionId, at: Milliseconds) => boolean;
}

/** Creates the ages; no region is known yet. */
export function createRegionLiveness(): RegionLiveness {
    const heardAt = new Map<RegionId, number>();

    return {
        onHeard(region, at) {
            heardAt.set(region, at);
        },
        merge(ages, at) {
            for (const [region, age] of ages) {
                const toldAt = at - age - maxMessageDelay;
                if (toldAt > (heardAt.get(region) ?? -Infinity)) {
                    heardAt.set(region, toldAt);
                }
            }
        },
        ages: at => new Map([...heardAt].map(([region, since]) => [region, at - since])),
        isAlive: (region, at) => at - (heardAt.get(region) ?? at) < regionFailureTimeout,
    };
}
