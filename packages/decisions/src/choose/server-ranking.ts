/**
 * Ranks servers for a key by weighted rendezvous hashing. Near servers have a greater
 * weight the more bytes a request transfers. All boxes of an availability zone rank the
 * servers in the same order for a key; for small transfers, all boxes of a region do. Few
 * keys move when the list of servers changes.
 *
 * Owns nothing; the caller passes the servers that may take the request.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import { type Proximity, rankingWeightsOf, type SlotsByProximity } from "./proximity-cost.js";
import { rendezvousScore } from "./rendezvous.js";
import type { SizeClass } from "./transfer-sizes.js";

/** Region and availability zone of a box or a server. */
export interface BoxLocality {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
}

/** Inputs of a ranking besides the servers. */
export interface RankingInputs {
    readonly keyHash: number;
    /** Size class of the route's transfers. */
    readonly sizeClass: SizeClass;
}

/**
 * Servers of the ranking that are compared by expected time. With a third one, all three would forget keys under
 * overload, since a server keeps few objects.
 */
export const comparedCount = 2;

/** Returns the first `count` servers of the key's ranking, in its order. */
export function topRankedServers(
    servers: readonly BackendServer[],
    request: RankingInputs,
    box: BoxLocality,
    count: number,
): readonly BackendServer[] {
    const weights = rankingWeightsOf(request.sizeClass, slotsByProximity(servers, box));
    const best: { readonly server: BackendServer; readonly score: number; }[] = [];
    for (const server of servers) {
        const score = rendezvousScore(request.keyHash, server.idHash, weightOf(server, weights, box));
        if (best.length === count && score <= best[count - 1].score) {
            continue;
        }
        const position = best.findIndex(entry => entry.score < score);
        best.splice(position < 0 ? best.length : position, 0, { server, score });
        best.length = Math.min(best.length, count);
    }
    return best.map(entry => entry.server);
}

function weightOf(server: BackendServer, weights: Readonly<Record<Proximity, number>>, box: BoxLocality): number {
    const record = server.state.record();
    return record.slots * weights[proximityOf(record, box)];
}

function slotsByProximity(servers: readonly BackendServer[], box: BoxLocality): SlotsByProximity {
    const sums = { sameZone: 0, sameRegion: 0, otherRegion: 0 };
    const zones = new Set<AvailabilityZoneId>();
    for (const server of servers) {
        const record = server.state.record();
        sums[proximityOf(record, box)] += record.slots;
        zones.add(record.zone);
    }
    return { ...sums, zones: zones.size };
}

/** Returns the distance between a server and a box. */
export function proximityOf(server: BoxLocality, box: BoxLocality): Proximity {
    if (server.region !== box.region) {
        return "otherRegion";
    }
    return server.zone === box.zone ? "sameZone" : "sameRegion";
}
