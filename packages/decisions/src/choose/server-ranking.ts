/**
 * Which servers are compared for a request: the first ones of its key's ranking
 * by weighted rendezvous hashing, near servers with a greater weight the more a request moves. So a key
 * stays with its servers from all boxes of a region alike, and few keys move
 * when the list changes.
 *
 * Owns nothing; relies on servers that may take the request.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import { type Proximity, rankingWeightsOf, type SlotsByProximity } from "./proximity-cost.js";
import { rendezvousScore } from "./rendezvous.js";
import type { SizeClass } from "./transfer-sizes.js";

/** Where the box is that chooses. */
export interface BoxLocality {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
}

/** What a ranking goes by, besides the servers. */
export interface RankingInputs {
    readonly keyHash: number;
    /** Of the size of what the route moves. */
    readonly sizeClass: SizeClass;
}

/**
 * Servers of the ranking that are compared by expected time. A third one makes all three forget keys under overload, since
 * servers remember few.
 */
export const comparedCount = 2;
/** Returns the first `count` servers of the key's ranking, in its order. */
export function topRankedServers(
    servers: readonly BackendServer[],
    request: RankingInputs,
    place: BoxLocality,
    count: number,
): readonly BackendServer[] {
    const weights = rankingWeightsOf(request.sizeClass, slotsByReach(servers, place));
    const best: { readonly server: BackendServer; readonly score: number; }[] = [];
    for (const server of servers) {
        const score = rendezvousScore(request.keyHash, server.idHash, weightOf(server, weights, place));
        if (best.length === count && score <= best[count - 1].score) {
            continue;
        }
        const position = best.findIndex(entry => entry.score < score);
        best.splice(position < 0 ? best.length : position, 0, { server, score });
        best.length = Math.min(best.length, count);
    }
    return best.map(entry => entry.server);
}

function weightOf(server: BackendServer, weights: Readonly<Record<Proximity, number>>, place: BoxLocality): number {
    const record = server.state.record();
    return record.slots * weights[proximityOf(record, place)];
}

function slotsByReach(servers: readonly BackendServer[], place: BoxLocality): SlotsByProximity {
    const sums = { sameZone: 0, sameRegion: 0, otherRegion: 0 };
    const zones = new Set<AvailabilityZoneId>();
    for (const server of servers) {
        const record = server.state.record();
        sums[proximityOf(record, place)] += record.slots;
        zones.add(record.zone);
    }
    return { ...sums, zones: zones.size };
}

/** Returns how far a server is from a box. */
export function proximityOf(server: BoxLocality, place: BoxLocality): Proximity {
    if (server.region !== place.region) {
        return "otherRegion";
    }
    return server.zone === place.zone ? "sameZone" : "sameRegion";
}
