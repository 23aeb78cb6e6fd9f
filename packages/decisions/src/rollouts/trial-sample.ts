/**
 * Which servers of a version take part in a trial, and in which group each is
 * counted: the same on all boxes without a message, since the order decides by
 * rendezvous hashing.
 *
 * The regions take turns, so that the first servers are spread over all regions,
 * and a server's group is its place by turns, so that the groups are balanced.
 *
 * Owns nothing; relies on servers that all boxes list alike.
 */

import { hashText, type Milliseconds, type RegionId } from "@chalkdale/kernel";
import { rendezvousScore } from "../choose/rendezvous.js";
import type { BackendServer } from "../servers/server-catalog.js";
import type { RolloutId } from "./rollout-order.js";

/** Groups that the servers of a version are counted in. */
export const groupCount = 8;

/** Returns servers of one version in the order in which they are sampled. */
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
 * Returns the servers that a trial goes to: the first ones of the order that are listed, do not drain, and are not cold. An
 * ejected one stays among them, since leaving it out would hide that its version is bad.
 */
export function selectSampledServers(
    inOrder: readonly BackendServer[],
    count: number,
    at: Milliseconds,
): readonly BackendServer[] {
    return inOrder.filter(server => isReady(server) && !server.state.isCold(at)).slice(0, count);
}

/** True for a server that is listed and does not drain. */
export function isReady(server: BackendServer): boolean {
    return server.state.isListed() && !server.state.record().draining;
}

/** The group, from 0, of the server at a place of its version's order. */
export function groupOf(place: number): number {
    return place % groupCount;
}

/** Sorting by turns keeps the order by score within a turn: `sort` is stable. */
function nextTurn(turns: Map<RegionId, number>, region: RegionId): number {
    const turn = turns.get(region) ?? 0;
    turns.set(region, turn + 1);
    return turn;
}
