/**
 * Which servers are compared for a request: the first ones of its key's ranking
 * by weighted rendezvous hashing, near servers with a greater weight. So a key
 * stays with its servers from all boxes of a region alike, and few keys move
 * when the list changes.
 *
 * Owns nothing; relies on servers that may take the request.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import type { RouteKind } from "../shared-state/configuration.js";
import { rendezvousScore } from "./rendezvous.js";

/** Where the box is that chooses. */
export interface BoxPlace {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
}

/** What a ranking goes by, besides the servers. */
export interface RankedRequest {
    readonly keyHash: number;
    readonly kind: RouteKind;
}

/**
 * Servers of the ranking that are compared by expected time. A third one makes all three forget keys under overload, since
 * servers remember few: worth 0.624 with three, 0.682 with two on the emulator's hard day.
 */
export const comparedCount = 2;
/**
 * Weight of a slot in the box's own region against one in another. 1, 2 and 8 were tried in the emulator and were no better;
 * a weight by the region's part of the slots kept 0.95 of the keys where there is room, and made that region's servers too
 * busy at the top of their load.
 */
const regionWeight = 4;
/**
 * The same for downloads, in the box's region and in its availability zone: 90 KB between regions cost more than an answer
 * is worth (0.86 to 1.08 of 1), between zones 0.39 to 0.50. Not measured against other weights.
 */
const downloadRegionWeight = 60;
/** Weight of a slot in the box's own availability zone for downloads. Not measured against other weights. */
const downloadZoneWeight = 4000;

/** Returns the first `count` servers of the key's ranking, in its order. */
export function firstOfRanking(
    servers: readonly BackendServer[],
    request: RankedRequest,
    place: BoxPlace,
    count: number,
): readonly BackendServer[] {
    const best: { readonly server: BackendServer; readonly score: number; }[] = [];
    for (const server of servers) {
        const score = rendezvousScore(request.keyHash, server.idHash, weightOf(server, request.kind, place));
        if (best.length === count && score <= best[count - 1].score) {
            continue;
        }
        const position = best.findIndex(entry => entry.score < score);
        best.splice(position < 0 ? best.length : position, 0, { server, score });
        best.length = Math.min(best.length, count);
    }
    return best.map(entry => entry.server);
}

function weightOf(server: BackendServer, kind: RouteKind, place: BoxPlace): number {
    const { region, slots, zone } = server.state.record();
    if (region !== place.region) {
        return slots;
    }
    if (kind !== "download") {
        return slots * regionWeight;
    }
    return slots * (zone === place.zone ? downloadZoneWeight : downloadRegionWeight);
}
