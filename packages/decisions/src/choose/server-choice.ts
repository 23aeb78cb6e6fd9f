/**
 * Chooses the server for a request.
 *
 * Servers are ranked by weighted rendezvous hashing of the request's affinity
 * key, nearer servers with a greater weight. Among the first few that may take
 * work, the one with the least expected time wins: way there and back, wait,
 * and work, where the first of the ranking is taken to know the key. A key so
 * stays with its server until that is full, slow or gone, and then moves to the
 * same next server from all boxes.
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
import type { RecentKeys } from "./recent-keys.js";
import { rendezvousScore } from "./rendezvous.js";
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
    readonly at: Milliseconds;
}

/** A chosen server, or why there is none. */
export type Choice =
    | {
        readonly kind: "chosen";
        readonly server: BackendServer;
        readonly rank: number;
        readonly warm: boolean;
        /** Expected time until the answer. */
        readonly expected: Milliseconds;
        /** The answer is not expected before this time. */
        readonly least: Milliseconds;
    }
    | { readonly kind: "noServer"; }
    | { readonly kind: "allCold"; }
    | { readonly kind: "tooLate"; readonly expected: Milliseconds; };

export interface ServerChoiceOptions {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly catalog: ServerCatalog;
    readonly recentKeys: RecentKeys;
    readonly work: WorkEstimate;
    /** Time to a place and back. */
    readonly roundTrip: (region: RegionId, zone: AvailabilityZoneId) => Milliseconds;
    /** False for a zone that is to get no requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
}

/**
 * Servers of the ranking that are compared by expected time. A third one makes all three forget keys under overload,
 * since servers remember few; see the experiment in docs/MEASUREMENTS.md.
 */
const comparedServers = 2;
/** Outliers are left out as long as this part of the servers that may take work remains. */
const leastSoundPart = 0.5;
/** Weight of a near server against a far one, for small answers and for large ones. */
const regionWeight = 4;
const largeAnswerRegionWeight = 60;
const largeAnswerZoneWeight = 4000;
/** What it costs later requests that a key leaves its first server, as milliseconds of expected time. */
const movePenalty = 100;
/** What bytes between zones and regions cost large answers, as milliseconds of expected time. */
const largeAnswerZonePenalty = 100;
const largeAnswerRegionPenalty = 600;
/** A key that this box has not seen at a server costs part of the work of one not known to the server. */
const unseenFirstPart = 0.1;

/** Returns the function that chooses. */
export function createServerChoice(options: ServerChoiceOptions): (request: ChoiceRequest) => Choice {
    return function choose(request) {
        const candidates = options.catalog.ofService(request.service).filter(server => mayServe(server, request));
        const fit = candidates.filter(server => server.state.exclusion(request.at) === undefined);
        if (fit.length === 0) {
            const cold = candidates.some(server => server.state.exclusion(request.at) === "cold");
            return chooseLastResort(candidates, request) ?? { kind: cold ? "allCold" : "noServer" };
        }
        const sound = fit.filter(server => !server.state.isOutlier(request.at));
        const best = bestOf(rank(sound.length < fit.length * leastSoundPart ? fit : sound, request), request);
        return best.least > request.timeLeft ? { kind: "tooLate", expected: best.expected } : best;
    };

    function mayServe(server: BackendServer, request: ChoiceRequest): boolean {
        const { region, zone } = server.state.record();
        const homes = request.route.homeRegions;
        return !request.tried.has(server.id)
            && options.admitsZone(zone)
            && (homes.length === 0 || homes.includes(region));
    }

    /** When all servers are left out after failures, the one with the least work gets a trial. */
    function chooseLastResort(candidates: readonly BackendServer[], request: ChoiceRequest): Choice | undefined {
        const ejected = candidates.filter(server => server.state.exclusion(request.at) === "ejected");
        const idle = ejected.filter(server => server.state.inFlight() === 0);
        return idle.length === 0 ? undefined : bestOf(rank(idle, request), request);
    }

    function rank(servers: readonly BackendServer[], request: ChoiceRequest): BackendServer[] {
        const large = request.route.kind === "download";
        const best: { readonly server: BackendServer; readonly score: number; }[] = [];
        for (const server of servers) {
            const score = rendezvousScore(request.keyHash, server.idHash, weightOf(server, large));
            if (best.length === comparedServers && score <= best[comparedServers - 1].score) {
                continue;
            }
            const position = best.findIndex(entry => entry.score < score);
            best.splice(position < 0 ? best.length : position, 0, { server, score });
            best.length = Math.min(best.length, comparedServers);
        }
        return best.map(entry => entry.server);
    }

    function weightOf(server: BackendServer, large: boolean): number {
        const { slots, region, zone } = server.state.record();
        if (region !== options.region) {
            return slots;
        }
        if (!large) {
            return slots * regionWeight;
        }
        return slots * (zone === options.zone ? largeAnswerZoneWeight : largeAnswerRegionWeight);
    }

    function bestOf(ranked: readonly BackendServer[], request: ChoiceRequest) {
        const judged = ranked.map((server, index) => judge(server, index, request));
        return judged.reduce((best, next) => next.cost < best.cost ? next : best);
    }

    function judge(server: BackendServer, index: number, request: ChoiceRequest) {
        const { route, keyHash, at } = request;
        const { region, zone, slots } = server.state.record();
        const seen = route.sticky && options.recentKeys.has(server.id, keyHash, at);
        const warm = seen || !route.sticky;
        const warmWork = options.work.expected(route, true);
        const coldWork = options.work.expected(route, false);
        const unseenWork = index === 0 ? warmWork + (coldWork - warmWork) * unseenFirstPart : coldWork;
        const slowness = server.state.slowness(at);
        const work = (warm ? warmWork : unseenWork) * slowness;
        const excess = Math.max(0, server.state.load(at) + 1 - slots);
        const wait = excess / slots * warmWork * slowness;
        const way = options.roundTrip(region, zone);
        const expected = way + wait + work;
        return {
            kind: "chosen" as const,
            server,
            rank: index,
            warm,
            cost: expected + placePenalty(region, zone, route) + (index > 0 && route.sticky ? movePenalty : 0),
            expected: milliseconds(expected),
            least: milliseconds(way + wait + options.work.least(route)),
        };
    }

    function placePenalty(region: RegionId, zone: AvailabilityZoneId, route: Route): number {
        if (route.kind !== "download" || zone === options.zone) {
            return 0;
        }
        return region === options.region ? largeAnswerZonePenalty : largeAnswerRegionPenalty;
    }
}
