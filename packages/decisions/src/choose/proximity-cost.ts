/**
 * What the bytes of a request are worth when a server is chosen: how much more a
 * near server weighs in the ranking of a key, and how much sooner a farther one
 * must answer.
 *
 * The ranking goes by the step of a route's size, alike on all boxes; the time goes by the size that this box has seen.
 *
 * Owns nothing.
 */

import type { SizeClass } from "./transfer-sizes.js";

/** How far a server is from the box. */
export type Proximity = "sameZone" | "sameRegion" | "otherRegion";

/** Weights of a slot by its reach; a slot in another region has 1. */
interface RankingWeights {
    readonly zone: number;
    readonly region: number;
}

/**
 * Small: a heavier weight of the own region keeps its servers too busy at the top of their load.
 * Bulk: 90 KB between regions cost about what an answer is worth, between zones half of that.
 * Large: uploads stay in their zone, within the bound below, which spares zones with few servers.
 */
const rankingWeights: Readonly<Record<SizeClass, RankingWeights>> = {
    small: { zone: 4, region: 4 },
    large: { zone: 400, region: 4 },
    bulk: { zone: 4000, region: 60 },
};

/** Slots of a service by their reach from a box, and the zones that have any. */
export interface SlotsByProximity extends Readonly<Record<Proximity, number>> {
    readonly zones: number;
}

/**
 * Load that the keys of a zone's callers may put on its own servers, against the mean of the service, if each zone has as many
 * callers: the rest is room for others' keys.
 */
const mostOwnLoad = 0.8;

/** Returns the weight of a slot in the ranking of a key, by its reach. */
export function rankingWeightsOf(step: SizeClass, slots: SlotsByProximity): Readonly<Record<Proximity, number>> {
    const { region, zone } = rankingWeights[step];
    const sameZone = step === "large" ? Math.max(region, Math.min(zone, bearableWeight(slots, region))) : zone;
    return { sameZone, sameRegion: region, otherRegion: 1 };
}

/** The weight with which the zone's own servers get the part of its keys that they can bear. */
function bearableWeight(slots: SlotsByProximity, region: number): number {
    const total = slots.sameZone + slots.sameRegion + slots.otherRegion;
    const part = mostOwnLoad * slots.zones * slots.sameZone / total;
    const others = slots.sameRegion * region + slots.otherRegion;
    return part < 1 ? part / (1 - part) * others / slots.sameZone : Infinity;
}

/**
 * Milliseconds of an answer's time that a kilobyte is worth between zones: an answer in time earns five times what a late one
 * does, and the work of an unknown object, which makes it late, is some 600 ms longer than that of a known one; 90 KB took a
 * sixth of that by what two deployments pay.
 */
const zoneMillisecondsPerKilobyte = 1.1;
/** The same between regions. */
const regionMillisecondsPerKilobyte = 6.7;
/** Bytes below which nothing is charged: heads and acknowledgements move as much. */
const freeBytes = 2000;
/** Bytes beyond which no more is charged, a little more than downloads move: a request for more may still be served elsewhere. */
const mostBytes = 100_000;
/** Bytes of a kilobyte. */
const bytesOfKilobyte = 1000;

/** Returns what a request that moves so many bytes costs at a reach, as milliseconds of expected time. */
export function transferPenalty(bytes: number, reach: Proximity): number {
    const kilobytes = bytes < freeBytes ? 0 : Math.min(bytes, mostBytes) / bytesOfKilobyte;
    switch (reach) {
        case "sameZone":
            return 0;
        case "sameRegion":
            return kilobytes * zoneMillisecondsPerKilobyte;
        case "otherRegion":
            return kilobytes * regionMillisecondsPerKilobyte;
    }
}
