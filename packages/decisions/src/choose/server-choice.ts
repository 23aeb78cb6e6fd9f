/**
 * Chooses the server for a request.
 *
 * 1. Candidates: servers of the service that this request has not tried, in
 *    availability zones that admit requests and in allowed regions (`eligible-servers`).
 * 2. Of these, servers that may take a request now, without `outliers`: those whose
 *    severity is more than twice the median of the service, at most half of its servers.
 * 3. The first two in the ranking of the request's key (`server-ranking`, `key-rankings`).
 * 4. Of the two, the one with the lowest expected time: round trip, wait and work, which
 *    is shorter at a server that is warm for the key (`server-estimate`). A key whose first
 *    server was unavailable returns to it at its own time (`key-rebalancing`).
 * 5. If its wait for a free slot is too long for the route's goal (`longest-wait`), the next
 *    server of the ranking with a free slot takes the request, provided that it is a download
 *    or slots are not short in the service as a whole. Otherwise the request is refused: a
 *    queue in which every answer is late serves nobody, and retries find it shorter.
 *
 * Owns the return of keys to servers; relies on the server states of `servers/` and on the
 * learned work and round-trip times.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import type { Choice, ChoiceRequest, ChosenServer } from "./choice.js";
import { createEligibleServers, type EligibleServersOptions } from "./eligible-servers.js";
import { createKeyRebalancing } from "./key-rebalancing.js";
import { maxSlotWait } from "./longest-wait.js";
import type { RecentKeys } from "./recent-keys.js";
import { createServerEstimate, type ServerEstimateOptions } from "./server-estimate.js";
import { comparedCount, topRankedServers } from "./server-ranking.js";
import type { TransferSizes } from "./transfer-sizes.js";

export interface ServerChoiceOptions
    extends Omit<EligibleServersOptions, "keyRebalancing">, Omit<ServerEstimateOptions, "keyRebalancing">
{
    readonly recentKeys: RecentKeys;
    readonly transferSizes: TransferSizes;
    /** Requests per slot at the service's servers, running and waiting; see `ServiceLoad`. */
    readonly loadPerSlot: (service: ServiceId) => number;
}

/**
 * Load per slot of a service up to which a request without a free slot may go to the third server of its ranking or a
 * later one: keys of downloads rank the few servers of their zone first, which can be full while others are not. Above
 * this load the cold work would delay other requests.
 */
const maxOverflowLoad = 0.7;

/** Returns the function that chooses a server for a request. */
export function createServerChoice(options: ServerChoiceOptions): (request: ChoiceRequest) => Choice {
    const keyRebalancing = createKeyRebalancing();
    const eligibleServers = createEligibleServers({ ...options, keyRebalancing });
    const estimate = createServerEstimate({ ...options, keyRebalancing });

    return function choose(request) {
        const eligible = eligibleServers.topRanked(request);
        if (eligible.length === 0) {
            const candidates = eligibleServers.candidates(request);
            return chooseEjected(candidates, request) ?? refuse(candidates, request);
        }
        const best = cheapest(eligible.slice(0, comparedCount), request);
        if (best.minExpected > request.timeLeft) {
            return { kind: "tooLate", expected: best.expected };
        }
        if (best.wait <= maxSlotWait(best.warm, request, options.loadPerSlot)) {
            return best;
        }
        return nextWithFreeSlot(eligible.slice(comparedCount), request) ?? { kind: "crowded", wait: best.wait };
    };

    /**
     * Returns the next server of the ranking with a free slot, even if the work is cold there: a late answer is better
     * than none. Returns none while slots are short everywhere, since the cold work would then delay other requests.
     */
    function nextWithFreeSlot(others: readonly BackendServer[], request: ChoiceRequest): ChosenServer | undefined {
        if (!mayOverflow(request)) {
            return undefined;
        }
        return others
            .map((server, index) => estimate(server, index + comparedCount, request, []).choice)
            .find(choice => choice.wait === 0 && choice.expected <= request.timeLeft);
    }

    /**
     * Keys of downloads rank the servers of their region far before others, so the load that this box observes is that
     * of these few servers and not of the whole service. A download that finds them full therefore goes to a later
     * server at any observed load, so that none is refused while a slot is free.
     */
    function mayOverflow({ route, service }: ChoiceRequest): boolean {
        return options.transferSizes.sizeClass(route) === "bulk" || options.loadPerSlot(service) <= maxOverflowLoad;
    }

    /** If no server is eligible, tries an ejected one that is idle, so that no service stays without servers. */
    function chooseEjected(candidates: readonly BackendServer[], request: ChoiceRequest): Choice | undefined {
        const ejected = candidates.filter(server => server.state.exclusionReason(request.at) === "ejected");
        const idle = ejected.filter(server => server.state.inFlight() === 0);
        const { keyHash, route } = request;
        const sizeClass = options.transferSizes.sizeClass(route);
        const ranked = topRankedServers(idle, { keyHash, sizeClass }, options, comparedCount);
        return ranked.length === 0 ? undefined : cheapest(ranked, request);
    }

    function refuse(candidates: readonly BackendServer[], request: ChoiceRequest): Choice {
        const allReasons = candidates.map(server => server.state.exclusionReason(request.at));
        const reasons = new Set(allReasons);
        if (reasons.has("limited")) {
            return { kind: "allLimited" };
        }
        if (reasons.has("cold")) {
            return { kind: "allCold" };
        }
        return areAllBackedOff(request)
            ? { kind: "allBackedOff" }
            : { kind: "noServer", excluded: countsOf(allReasons) };
    }

    /**
     * True if servers have asked for back-off and no other may take this box's requests, whichever servers this request
     * has tried.
     */
    function areAllBackedOff(request: ChoiceRequest): boolean {
        const servers = eligibleServers.candidates({ ...request, tried: new Set() });
        const reasons = servers.map(({ state }) => state.exclusionReason(request.at));
        return reasons.includes("backedOff") && !reasons.includes(undefined);
    }

    function cheapest(ranked: readonly BackendServer[], request: ChoiceRequest): ChosenServer {
        const { at, keyHash } = request;
        const knownBy = ranked.filter(server => options.recentKeys.has(server.id, keyHash, at));
        const [{ choice: best }, second] = ranked
            .map((server, index) => estimate(server, index, request, knownBy))
            .sort((a, b) => a.cost - b.cost);
        if (second === undefined) {
            return best;
        }
        const { expected, server } = second.choice;
        return { ...best, runnerUp: { server: server.id, expected } };
    }
}

/** Formats how often each reason occurs; a server without a reason is an outlier. */
function countsOf(reasons: readonly (string | undefined)[]): string {
    const counts = new Map<string, number>();
    reasons.forEach((reason = "none") => counts.set(reason, (counts.get(reason) ?? 0) + 1));
    return [...counts].map(([reason, count]) => `${reason}:${count}`).join(",");
}
