/**
 * Chooses the server for a request.
 *
 * 1. Candidates: servers of the service that this request has not tried, in
 *    availability zones that admit requests and, if the route has homes, in
 *    these regions.
 * 2. Of these, servers that may take a request now, without the outliers: those
 *    that do twice as badly as the median of the service, half of it at most.
 * 3. The first two of the ranking of the request's key (`compared-servers`).
 * 4. Of the two, the one with the least expected time: way there and back, wait,
 *    and work, which is less at a server that knows the key.
 * 5. If its wait for a free slot would cost the route's goal, the request is
 *    refused: queues in which every answer comes late serve nobody, and callers
 *    that come back find them shorter.
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
import { comparedServers } from "./compared-servers.js";
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
 * Part of the servers that may take work which is left out as outliers at most, the worst first, so that no service is emptied
 * when most of it fails. Not measured.
 */
const mostPartOutliers = 0.5;
/** Times the median of the service that an outlier's severity is at least: what all servers do alike moves no key. */
const outlierAgainstMedian = 2;
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
/** Times as long that a caller waits who comes back. 1 and 3 were worse on kodeyard and pedala (docs/LOAD-AND-FAULTS.md). */
const returningPatience = 1.5;

/** Returns the function that chooses. */
export function createServerChoice(options: ServerChoiceOptions): (request: ChoiceRequest) => Choice {
    return function choose(request) {
        const candidates = options.catalog.ofService(request.service).filter(server => isCandidate(server, request));
        const eligible = candidates.filter(server => server.state.exclusion(request.at) === undefined);
        if (eligible.length === 0) {
            return chooseLastResort(candidates, request) ?? noChoice(candidates, request);
        }
        const best = fastest(rank(withoutOutliers(eligible, request), request), request);
        if (best.least > request.timeLeft) {
            return { kind: "tooLate", expected: best.expected };
        }
        return best.wait > longestWait(best, request) ? { kind: "crowded", wait: best.wait } : best;
    };

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

    /** Leaves out the worst servers, as long as they stand out from the rest of the service. */
    function withoutOutliers(eligible: readonly BackendServer[], request: ChoiceRequest): readonly BackendServer[] {
        const worstFirst = eligible
            .map(server => ({ server, severity: options.severity(server, request.at) }))
            .sort((a, b) => b.severity - a.severity);
        const median = worstFirst[Math.floor(worstFirst.length / 2)].severity;
        const threshold = Math.max(1, median * outlierAgainstMedian);
        const leftOut = new Set(
            worstFirst
                .slice(0, Math.floor(eligible.length * mostPartOutliers))
                .filter(({ severity }) => severity > threshold)
                .map(({ server }) => server),
        );
        return leftOut.size === 0 ? eligible : eligible.filter(server => !leftOut.has(server));
    }

    /** When no server is eligible, an ejected one that is idle gets a trial, so that no service stays empty. */
    function chooseLastResort(candidates: readonly BackendServer[], request: ChoiceRequest): Choice | undefined {
        const ejected = candidates.filter(server => server.state.exclusion(request.at) === "ejected");
        const idle = ejected.filter(server => server.state.inFlight() === 0);
        return idle.length === 0 ? undefined : fastest(rank(idle, request), request);
    }

    function noChoice(candidates: readonly BackendServer[], request: ChoiceRequest): Choice {
        const isAnyCold = candidates.some(server => server.state.exclusion(request.at) === "cold");
        return { kind: isAnyCold ? "allCold" : "noServer" };
    }

    function rank(servers: readonly BackendServer[], { keyHash, route }: ChoiceRequest): readonly BackendServer[] {
        return comparedServers(servers, { keyHash, kind: route.kind }, options);
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
