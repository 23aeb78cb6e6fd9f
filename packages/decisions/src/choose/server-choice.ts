/**
 * Chooses the server for a request.
 *
 * 1. Candidates: servers of the service that this request has not tried, in
 *    availability zones that admit requests and, if the route has homes, in
 *    these regions (`eligible-servers`).
 * 2. Of these, servers that may take a request now, without the `outliers`: those
 *    that do twice as badly as the median of the service, half of it at most.
 * 3. The first two of the ranking of the request's key (`compared-servers`, `key-rankings`).
 * 4. Of the two, the one with the least expected time: way there and back, wait,
 *    and work, which is less at a server that knows the key (`server-estimate`). A key whose
 *    first server was away comes back to it at a time of its own (`returning-keys`).
 * 5. If its wait for a free slot would cost the route's goal (`longest-wait`), the next server of
 *    the ranking that has one takes the request, as long as it is a download or slots are not short
 *    in the service as a whole; else the request is refused: queues in which
 *    every answer comes late serve nobody, and callers that come back find them
 *    shorter.
 *
 * Owns the returns of keys; relies on what `servers/` believes of each server and on the
 * learned times of work and way.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import type { Choice, ChoiceRequest, ChosenServer } from "./choice.js";
import { createEligibleServers, type EligibleServersOptions } from "./eligible-servers.js";
import { createKeyRebalancing } from "./key-rebalancing.js";
import { longestWait } from "./longest-wait.js";
import type { RecentKeys } from "./recent-keys.js";
import { createServerEstimate, type ServerEstimateOptions } from "./server-estimate.js";
import { comparedCount, topRankedServers } from "./server-ranking.js";
import type { TransferSizes } from "./transfer-sizes.js";

export interface ServerChoiceOptions
    extends Omit<EligibleServersOptions, "keyRebalancing">, Omit<ServerEstimateOptions, "keyRebalancing">
{
    readonly recentKeys: RecentKeys;
    readonly transferSizes: TransferSizes;
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: (service: ServiceId) => number;
}

/**
 * Load per slot of a service up to which a crowded request may go to a third server or a later one: the keys of downloads rank
 * the few servers of their zone first, and these can be full alone. Above it the cold work would
 * keep others waiting.
 */
const plentyOfSlots = 0.7;

/** Returns the function that chooses. */
export function createServerChoice(options: ServerChoiceOptions): (request: ChoiceRequest) => Choice {
    const returningKeys = createKeyRebalancing();
    const eligibleServers = createEligibleServers({ ...options, keyRebalancing: returningKeys });
    const estimate = createServerEstimate({ ...options, keyRebalancing: returningKeys });

    return function choose(request) {
        const eligible = eligibleServers.topRanked(request);
        if (eligible.length === 0) {
            const candidates = eligibleServers.candidates(request);
            return chooseLastResort(candidates, request) ?? noChoice(candidates, request);
        }
        const best = fastest(eligible.slice(0, comparedCount), request);
        if (best.minExpected > request.timeLeft) {
            return { kind: "tooLate", expected: best.expected };
        }
        if (best.wait <= longestWait(best.warm, request, options.loadPerSlot)) {
            return best;
        }
        return nextWithRoom(eligible.slice(comparedCount), request) ?? { kind: "crowded", wait: best.wait };
    };

    /**
     * The next server of the ranking with a free slot, though the work may be cold there: callers are served late rather than
     * not at all. While slots are short everywhere it would keep others waiting.
     */
    function nextWithRoom(others: readonly BackendServer[], request: ChoiceRequest): ChosenServer | undefined {
        if (!mayBeServedElsewhere(request)) {
            return undefined;
        }
        return others
            .map((server, index) => estimate(server, index + comparedCount, request, []).choice)
            .find(choice => choice.wait === 0 && choice.expected <= request.timeLeft);
    }

    /**
     * Keys of downloads rank the servers of their region far before others, so the load that this box sees is that of these few,
     * whatever the rest of the service has to do. A download that finds them full goes on for as long as a later server is not known
     * to be full, so that none is refused beside a free slot.
     */
    function mayBeServedElsewhere({ route, service }: ChoiceRequest): boolean {
        return options.transferSizes.sizeClass(route) === "bulk" || options.loadPerSlot(service) <= plentyOfSlots;
    }

    /** When no server is eligible, an ejected one that is idle gets a trial, so that no service stays empty. */
    function chooseLastResort(candidates: readonly BackendServer[], request: ChoiceRequest): Choice | undefined {
        const ejected = candidates.filter(server => server.state.exclusionReason(request.at) === "ejected");
        const idle = ejected.filter(server => server.state.inFlight() === 0);
        const { keyHash, route } = request;
        const step = options.transferSizes.sizeClass(route);
        const ranked = topRankedServers(idle, { keyHash, sizeClass: step }, options, comparedCount);
        return ranked.length === 0 ? undefined : fastest(ranked, request);
    }

    function noChoice(candidates: readonly BackendServer[], request: ChoiceRequest): Choice {
        const reasons = new Set(candidates.map(server => server.state.exclusionReason(request.at)));
        if (reasons.has("limited")) {
            return { kind: "allLimited" };
        }
        if (reasons.has("cold")) {
            return { kind: "allCold" };
        }
        return { kind: areAllBackedOff(request) ? "allBackedOff" : "noServer" };
    }

    /** True if this box's next request for the service can only go to a server that asked it for back-off, whatever this one has tried. */
    function areAllBackedOff(request: ChoiceRequest): boolean {
        const servers = eligibleServers.candidates({ ...request, tried: new Set() });
        const reasons = servers.map(({ state }) => state.exclusionReason(request.at));
        return reasons.includes("backedOff") && !reasons.includes(undefined);
    }

    function fastest(ranked: readonly BackendServer[], request: ChoiceRequest): ChosenServer {
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
