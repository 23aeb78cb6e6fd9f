/**
 * Selects the servers of a version that take part in a trial, and the group in which each
 * is counted. Servers are ranked by rendezvous hashing with the order's identity, so all
 * boxes select the same ones without exchanging messages.
 *
 * The ranking alternates between regions, so that the first servers are spread over all
 * regions. A server's group follows from its rank, so that the groups are balanced.
 *
 * Relies on all boxes listing the same servers.
 */

import { hashText, type Milliseconds, type RegionId } from "@chalkdale/kernel";
import { rendezvousScore } from "../choose/rendezvous.js";
import type { BackendServer } from "../servers/server-catalog.js";
import type { RolloutId } from "./rollout-order.js";

/** Number of groups that the servers of a version are counted in. */
export const groupCount = 8;

/** Returns the servers of one version, ranked in the order in which they are sampled. */
export function rankForSampling(servers: readonly BackendServer[], rollout: RolloutId): readonly BackendServer[] {
    const orderHash = hashText(`${rollout.service} ${rollout.targetVersion} ${rollout.createdAt}`);
    const scored = servers
        .map(server => ({ server, score: rendezvousScore(orderHash, server.idHash, 1) }))
        .sort((a, b) => b.score - a.score);
    const turns = new Map<RegionId, number>();
    return scored
        .map(({ server }) => ({ server, turn: nextTurn(turns, server.state.record().region) }))
        .sort((a, b) => a.turn - b.turn)
        .map(({ server }) => server);
}

/**
 * Returns the first `count` ranked servers that are listed and neither draining nor cold. Ejected servers stay
 * in the sample, since leaving them out would hide that their version is bad.
 */
export function selectSampledServers(
    ranked: readonly BackendServer[],
    count: number,
    at: Milliseconds,
): readonly BackendServer[] {
    return ranked.filter(server => isReady(server) && !server.state.isCold(at)).slice(0, count);
}

/** True for a server that is listed and not draining. */
export function isReady(server: BackendServer): boolean {
    return server.state.isListed() && !server.state.record().draining;
}

/** Returns the group, from 0, of the server with the given rank among its version's servers. */
export function groupOf(rank: number): number {
    return rank % groupCount;
}

/**
 * Returns the index of a server among those of its region. Sorting by it keeps the order by score: `sort` is
 * stable.
 */
function nextTurn(turns: Map<RegionId, number>, region: RegionId): number {
    const turn = turns.get(region) ?? 0;
    turns.set(region, turn + 1);
    return turn;
}
