/**
 * Splits requests between destinations in proportion to their weights.
 *
 * Uses smooth weighted round robin: in any run of requests each destination gets its share to within one or two
 * requests, evenly spread.
 *
 * Owns the credit of each destination, on one box and for one configuration.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { WeightedService } from "../shared-state/configuration.js";

/** Returns the destination of the next request. */
export type WeightedSplit = () => ServiceId;

/** Creates a split. Destinations with weight 0 are never picked unless all have weight 0. */
export function createWeightedSplit(destinations: readonly WeightedService[]): WeightedSplit {
    const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    const credit = destinations.map(() => 0);

    return () => {
        let best = 0;
        destinations.forEach((destination, index) => {
            credit[index] += destination.weight;
            if (credit[index] > credit[best]) {
                best = index;
            }
        });
        credit[best] -= total;
        return destinations[best].service;
    };
}
