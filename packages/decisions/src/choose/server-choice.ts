/**
 * Chooses the server for a request.
 *
 * 1. Candidates: servers of the service that this request has not tried, in
 *    availability zones that admit requests and, if the route has homes, in
 *    these regions.
 * 2. Of these, servers that may take a request now, without the outliers: those
 *    that do twice as badly as the median of the service, half of it at most.
 * 3. The first two of the ranking of the request's key (`compared-servers`, `key-rankings`).
 * 4. Of the two, the one with the least expected time: way there and back, wait,
 *    and work, which is less at a server that knows the key.
 * 5. If its wait for a free slot would cost the route's goal, the next server of
 *    the ranking that has one takes the request, as long as slots are not short
 *    in the service as a whole; else the request is refused: queues in which
 *    every answer comes late serve nobody, and callers that come back find them
 *    shorter.
 *
 * Owns no state; relies on what `servers/` believes of each server and on the
 * learned times of work and way.
 */

import {
    type AvailabilityZoneId,
    type BackendServerId,
    type Milliseconds,
    milliseconds,
    type RegionId,
    type ServiceId,
} from "@chalkdale/kernel";
import type { BackendServer, ServerCatalog } from "../servers/server-catalog.js";
import type { Route } from "../shared-state/configuration.js";
import { comparedCount, firstOfRanking } from "./compared-servers.js";
import { createKeyRankings, rankedCount } from "./key-rankings.js";
import { findOutliers, isSuspicious } from "./outliers.js";
import type { RecentKeys } from "./recent-keys.js";
import type { WorkEstimate } from "./work-estimate.js";

/** What is asked of the choice. */
export interface ChoiceRequest {
    readonly route: Route;
    readonly service: ServiceId;
    /** Hash of the affinity key, or a random number for a request without one. */
    readonly keyHash: number;
    /** Servers that already had this request. */
    readonly tried: ReadonlySet<BackendServerId>;
    /** Time until the request must be answered. */
    readonly timeLeft: Milliseconds;
    /** The caller has asked before, so it waits longer before it is sent away again. */
    readonly isReturning: boolean;
    readonly at: Milliseconds;
}

/** The chosen server, and what the choice went by. */
export interface ChosenServer {
    readonly kind: "chosen";
    readonly server: BackendServer;
    /** Place in the ranking of the key, from 0. */
    readonly rank: number;
    /** The server is taken to know the key. */
    readonly warm: boolean;
    /** Expected time until the answer. */
    readonly expected: Milliseconds;
    /** The answer is not expected before this time. */
    readonly least: Milliseconds;
    /** A part of `expected`: the wait for a free slot. */
    readonly wait: Milliseconds;
    /** What `expected` would be at a server of ordinary speed. */
    readonly usual: Milliseconds;
    /** The server that came second, if others were compared. */
    readonly runnerUp?: { readonly server: BackendServerId; readonly expected: Milliseconds; };
}

/** A chosen server, or why there is none. */
export type Choice =
    | ChosenServer
    /** No server may take the request, and none is in slow start. */
    | { readonly kind: "noServer"; }
    /** Servers in slow start have had their share of requests for now. */
    | { readonly kind: "allCold"; }
    /** Not even the least time fits into what is left. */
    | { readonly kind: "tooLate"; readonly expected: Milliseconds; }
    /** The wait for a free slot, of this length, is longer than the request may wait. */
    | { readonly kind: "crowded"; readonly wait: Milliseconds; };

/** A server as it would be chosen, and what servers are compared by: expected time, and what the choice costs beside it. */
interface Estimate {
    readonly choice: ChosenServer;
    readonly cost: number;
}

export interface ServerChoiceOptions {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly catalog: ServerCatalog;
    readonly recentKeys: RecentKeys;
    readonly work: WorkEstimate;
    /** Time to a place and back. */
    readonly roundTrip: (region: RegionId, zone: AvailabilityZoneId) => Milliseconds;
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: (service: ServiceId) => number;
    /** How badly a server does by what this box and others of the region saw; see `ServerState.severity`. */
    readonly severity: (server: BackendServer, at: Milliseconds) => number;
    /** False for an availability zone that is to get no requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
}

/**
 * What it costs later requests that a key leaves its first server, as milliseconds of expected time. 0 and 250 were worse
 * or alike on the emulator's days (docs/MEASUREMENTS.md).
 */
const movePenalty = 100;
/** What the bytes of a download cost between zones and between regions, as milliseconds of expected time. Not measured. */
const downloadZonePenalty = 100;
/** The same between regions. Not measured. */
const downloadRegionPenalty = 600;
/**
 * Part of the extra work of an unknown key that is expected where the key ranks first but this box has not seen it there:
 * other boxes most likely sent it. Not measured.
 */
const unseenFirstPart = 0.1;
/**
 * The same where this box has sent the key to the other server lately: the first one was away or busy and may have lost the key.
 * So keys come back to it as the need arises, not all at once (kodeyard trouble-1 0.654, 0.662 with it; tsereteli scale-2 alike).
 */
const leftFirstPart = 0.5;

/**
 * Part of the route's goal that a request waits for a free slot at most where its key is known; with a longer wait it is refused
 * at once. Shorter ones refuse more than they speed up (docs/LOAD-AND-FAULTS.md).
 */
const waitPartWarm = 1;
/** The same where the key is not known and slots are short. A quarter and the whole were worse (docs/LOAD-AND-FAULTS.md). */
const waitPartCold = 0.5;
/**
 * Load per slot of a service above which its slots count as short: more requests wait than slots are free. 0.8 and 1.3 were
 * alike in the emulator.
 */
const shortOfSlots = 1;
/**
 * Load per slot of a service up to which a crowded request may go to a third server or a later one: the keys of downloads rank
 * the few servers of their zone first, and these can be full alone. With 0.7 the mean worth of 18 emulated days, where no zone
 * is full alone, stays as without it (0.884); with 1 days of 1.6 times the load lost up to 0.011 to cold work.
 */
const plentyOfSlots = 0.7;
/** Times as long that a caller waits who comes back. 1 and 3 were worse on kodeyard and pedala (docs/LOAD-AND-FAULTS.md). */
const returningPatience = 1.5;

/** Returns the function that chooses. */
export function createServerChoice(options: ServerChoiceOptions): (request: ChoiceRequest) => Choice {
    const rankings = createKeyRankings(options.catalog, options);

    return function choose(request) {
        const compared = comparedServers(request);
        if (compared.length === 0) {
            const candidates = options.catalog.ofService(request.service).filter(server =>
                isCandidate(server, request)
            );
            return chooseLastResort(candidates, request) ?? noChoice(candidates, request);
        }
        const best = fastest(compared.slice(0, comparedCount), request);
        if (best.least > request.timeLeft) {
            return { kind: "tooLate", expected: best.expected };
        }
        if (best.wait <= longestWait(best, request)) {
            return best;
        }
        return nextWithRoom(compared.slice(comparedCount), request) ?? { kind: "crowded", wait: best.wait };
    };

    /**
     * The next server of the ranking with a free slot, though the work may be cold there: callers are served late rather than
     * not at all. While slots are short everywhere it would keep others waiting.
     */
    function nextWithRoom(others: readonly BackendServer[], request: ChoiceRequest): ChosenServer | undefined {
        if (options.loadPerSlot(request.service) > plentyOfSlots) {
            return undefined;
        }
        return others
            .map((server, index) => estimate(server, index + comparedCount, request, []).choice)
            .find(choice => choice.wait === 0 && choice.expected <= request.timeLeft);
    }

    /**
     * How long a request waits for a free slot at most. Work on an object that the server does not know takes three times as
     * long, so when slots are short it goes only where the wait is short: else it keeps all others waiting. A caller that
     * comes back was sent away for the wait before, and waits longer.
     */
    function longestWait({ warm }: ChosenServer, { isReturning, route, service }: ChoiceRequest): number {
        const isShort = options.loadPerSlot(service) > shortOfSlots;
        const part = isShort && !warm ? waitPartCold : waitPartWarm;
        return route.goal * part * (isReturning ? returningPatience : 1);
    }

    function isCandidate(server: BackendServer, request: ChoiceRequest): boolean {
        const { region, zone } = server.state.record();
        const homes = request.route.homeRegions;
        return !request.tried.has(server.id)
            && options.admitsZone(zone)
            && (homes.length === 0 || homes.includes(region));
    }

    function isEligible(server: BackendServer, request: ChoiceRequest): boolean {
        return isCandidate(server, request) && server.state.exclusion(request.at) === undefined;
    }

    /** The first servers of the key's ranking that may take the request and are no outliers; a few more than are compared. */
    function comparedServers(request: ChoiceRequest): readonly BackendServer[] {
        const { keyHash, route, service } = request;
        const all = options.catalog.ofService(service);
        const ranked = route.sticky
            ? rankings.first(service, { keyHash, kind: route.kind })
            : firstOfRanking(all, { keyHash, kind: route.kind }, options, rankedCount);
        let outliers: ReadonlySet<BackendServer> | undefined;
        const isOutlier = (server: BackendServer) => {
            if (!isSuspicious(options.severity(server, request.at))) {
                return false;
            }
            outliers ??= findOutliers(
                all.filter(other => isEligible(other, request)),
                other => options.severity(other, request.at),
            );
            return outliers.has(server);
        };
        const compared = ranked.filter(server => isEligible(server, request) && !isOutlier(server));
        if (compared.length >= comparedCount || ranked.length === all.length) {
            return compared;
        }
        const usable = all.filter(server => isEligible(server, request) && !isOutlier(server));
        return firstOfRanking(usable, { keyHash, kind: route.kind }, options, rankedCount);
    }

    /** When no server is eligible, an ejected one that is idle gets a trial, so that no service stays empty. */
    function chooseLastResort(candidates: readonly BackendServer[], request: ChoiceRequest): Choice | undefined {
        const ejected = candidates.filter(server => server.state.exclusion(request.at) === "ejected");
        const idle = ejected.filter(server => server.state.inFlight() === 0);
        const { keyHash, route } = request;
        const ranked = firstOfRanking(idle, { keyHash, kind: route.kind }, options, comparedCount);
        return ranked.length === 0 ? undefined : fastest(ranked, request);
    }

    function noChoice(candidates: readonly BackendServer[], request: ChoiceRequest): Choice {
        const isAnyCold = candidates.some(server => server.state.exclusion(request.at) === "cold");
        return { kind: isAnyCold ? "allCold" : "noServer" };
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

    /**
     * Estimates the time of a request at one server; `cost` adds what the choice costs later requests and in bytes. `knownBy`
     * are the servers to which this box has sent the key lately.
     */
    function estimate(
        server: BackendServer,
        index: number,
        request: ChoiceRequest,
        knownBy: readonly BackendServer[],
    ): Estimate {
        const { at, route } = request;
        const { region, slots, zone } = server.state.record();
        const slowness = server.state.slowness(at);
        const warm = !route.sticky || knownBy.includes(server);
        const warmWork = options.work.expected(route, true);
        const usualWork = warm ? warmWork : workOfUnseenKey(route, index, knownBy.length > 0);
        const work = usualWork * slowness;
        const excess = Math.max(0, server.state.load(at) + 1 - slots);
        const usualWait = excess / slots * warmWork;
        const wait = usualWait * slowness;
        const way = options.roundTrip(region, zone);
        const expected = way + wait + work;
        const penalty = placePenalty(region, zone, route) + (index > 0 && route.sticky ? movePenalty : 0);
        return {
            choice: {
                kind: "chosen",
                server,
                rank: index,
                warm,
                expected: milliseconds(expected),
                least: milliseconds(way + wait + options.work.least(route)),
                wait: milliseconds(wait),
                usual: milliseconds(way + usualWait + usualWork),
            },
            cost: expected + penalty,
        };
    }

    function workOfUnseenKey(route: Route, index: number, isKnownElsewhere: boolean): number {
        const warmWork = options.work.expected(route, true);
        const coldWork = options.work.expected(route, false);
        if (index > 0) {
            return coldWork;
        }
        return warmWork + (coldWork - warmWork) * (isKnownElsewhere ? leftFirstPart : unseenFirstPart);
    }

    function placePenalty(region: RegionId, zone: AvailabilityZoneId, route: Route): number {
        if (route.kind !== "download" || zone === options.zone) {
            return 0;
        }
        return region === options.region ? downloadZonePenalty : downloadRegionPenalty;
    }
}
