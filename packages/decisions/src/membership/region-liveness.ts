/**
 * When any box last heard from each region. A region from which no box hears
 * anything counts as failed as a whole.
 *
 * Owns the latest time for each region; relies on messages to report ages, since
 * clocks of different boxes are not compared.
 */

import type { Milliseconds, RegionId } from "@chalkdale/kernel";
import { maxMessageDelay, regionFailureTimeout } from "./membership-times.js";

/** When each region was last heard from. */
export interface RegionLiveness {
    /** This box has heard from a box of the region. */
    readonly onHeard: (region: RegionId, at: Milliseconds) => void;
    /** Another box reported how long ago any box heard from each region, in milliseconds. */
    readonly merge: (ages: ReadonlyMap<RegionId, number>, at: Milliseconds) => void;
    /** Milliseconds since any box heard from each region. */
    readonly ages: (at: Milliseconds) => ReadonlyMap<RegionId, number>;
    /** True unless the region has failed; a region that was never heard from counts as alive. */
    readonly isAlive: (region: RegionId, at: Milliseconds) => boolean;
}

/** Creates the state without any region. */
export function createRegionLiveness(): RegionLiveness {
    const heardAt = new Map<RegionId, number>();

    return {
        onHeard(region, at) {
            heardAt.set(region, at);
        },
        merge(ages, at) {
            for (const [region, age] of ages) {
                const reportedAt = at - age - maxMessageDelay;
                if (reportedAt > (heardAt.get(region) ?? -Infinity)) {
                    heardAt.set(region, reportedAt);
                }
            }
        },
        ages: at => new Map([...heardAt].map(([region, since]) => [region, at - since])),
        isAlive: (region, at) => at - (heardAt.get(region) ?? at) < regionFailureTimeout,
    };
}
