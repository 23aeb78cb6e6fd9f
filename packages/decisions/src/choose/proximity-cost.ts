/**
 * Weighs the transfer of a request's bytes against time when a server is chosen: how
 * much more a near server weighs in the ranking of a key, and how much sooner a more
 * distant one must answer.
 *
 * The ranking uses the route's size class, which is the same on all boxes; the penalty
 * uses the sizes that this box has observed.
 *
 * Owns nothing.
 */

import type { SizeClass } from "./transfer-sizes.js";

/** Distance between a box and a server. */
export type Proximity = "sameZone" | "sameRegion" | "otherRegion";

/** Weights of a slot in the box's availability zone and region; a slot in another region weighs 1. */
interface RankingWeights {
    readonly zone: number;
    readonly region: number;
}

/**
 * Small: a greater weight of the box's own region overloads its servers at peak load.
 * Large: uploads stay in their zone, up to `maxZoneLoad`, which protects zones with few servers.
 * Bulk: 90 KB between regions cost about as much as an answer earns, between zones half of that.
 */
const rankingWeights: Readonly<Record<SizeClass, RankingWeights>> = {
    small: { zone: 4, region: 4 },
    large: { zone: 400, region: 4 },
    bulk: { zone: 4000, region: 60 },
};

/** Slots of a service by their proximity to a box, and the number of availability zones that have any. */
export interface SlotsByProximity extends Readonly<Record<Proximity, number>> {
    readonly zones: number;
}

/**
 * Highest load that the keys of a zone's callers may put on the zone's servers, relative to the mean of the service and
 * with callers spread evenly over the zones; the rest is capacity for keys of other zones.
 */
const maxZoneLoad = 0.8;

/** Returns the weight of a slot in the ranking of a key, by its proximity. */
export function rankingWeightsOf(sizeClass: SizeClass, slots: SlotsByProximity): Readonly<Record<Proximity, number>> {
    const { region, zone } = rankingWeights[sizeClass];
    const sameZone = sizeClass === "large"
        ? Math.max(region, Math.min(zone, weightAtMaxZoneLoad(slots, region)))
        : zone;
    return { sameZone, sameRegion: region, otherRegion: 1 };
}

/** The weight at which the zone's servers get `maxZoneLoad` from its keys; infinite if they can take all keys. */
function weightAtMaxZoneLoad(slots: SlotsByProximity, region: number): number {
    const total = slots.sameZone + slots.sameRegion + slots.otherRegion;
    const localFraction = maxZoneLoad * slots.zones * slots.sameZone / total;
    const others = slots.sameRegion * region + slots.otherRegion;
    return localFraction < 1 ? localFraction / (1 - localFraction) * others / slots.sameZone : Infinity;
}

/**
 * Milliseconds of expected time that a kilobyte between zones is worth. An answer in time earns five times as much as a
 * late one, and cold work, which makes it late, takes about 600 ms longer than warm work; by the prices of two
 * deployments, 90 KB are worth a sixth of that.
 */
const zoneMillisecondsPerKilobyte = 1.1;
/** Milliseconds of expected time that a kilobyte between regions is worth. */
const regionMillisecondsPerKilobyte = 6.7;
/** Bytes below which nothing is charged: headers and acknowledgements take as much. */
const freeBytes = 2000;
/**
 * Bytes above which the penalty stays constant, slightly more than a download moves: larger requests can still be
 * served elsewhere.
 */
const maxChargedBytes = 100_000;
const bytesPerKilobyte = 1000;

/** Returns the cost of moving so many bytes over a distance, as milliseconds of expected time. */
export function transferPenalty(bytes: number, proximity: Proximity): number {
    const kilobytes = bytes < freeBytes ? 0 : Math.min(bytes, maxChargedBytes) / bytesPerKilobyte;
    switch (proximity) {
        case "sameZone":
            return 0;
        case "sameRegion":
            return kilobytes * zoneMillisecondsPerKilobyte;
        case "otherRegion":
            return kilobytes * regionMillisecondsPerKilobyte;
    }
}
