/**
 * Which servers may take a request, in the order of its key's ranking: of a
 * version that may have it, not tried yet, in a zone that admits requests, in a
 * home of the request, not excluded, and no outliers.
 *
 * A request that tries a version meets its servers as they are: leaving out those
 * that do badly would hide what the trial is to show.
 *
 * Owns the kept rankings of keys; relies on the catalog and on how badly each
 * server does.
 */

import type { AvailabilityZoneId, Milliseconds, ServiceId } from "@chalkdale/kernel";
import type { BackendServer, ServerCatalog } from "../servers/server-catalog.js";
import type { ChoiceRequest } from "./choice.js";
import { createKeyRankings, rankingLength } from "./key-rankings.js";
import type { KeyRebalancing } from "./key-rebalancing.js";
import { findOutliers, mayBeOutlier } from "./outliers.js";
import { type BoxLocality, comparedCount, topRankedServers } from "./server-ranking.js";
import type { TransferSizes } from "./transfer-sizes.js";

export interface EligibleServersOptions extends BoxLocality {
    readonly catalog: ServerCatalog;
    /** How badly a server does by what this box and others of the region saw; see `ServerState.severity`. */
    readonly severity: (server: BackendServer, at: Milliseconds) => number;
    readonly transferSizes: Pick<TransferSizes, "sizeClass">;
    readonly keyRebalancing: Pick<KeyRebalancing, "onUnavailable">;
    /** False for an availability zone that is to get no requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
    /** False for a server whose version may not have such a request; see `ServedVersions`. */
    readonly admitsVersion: (server: BackendServer, isTrial: boolean) => boolean;
    /** Rises whenever `admitsVersion` may answer otherwise for the service's servers. */
    readonly admissionVersion: (service: ServiceId) => number;
}

/** Servers for requests. */
export interface EligibleServers {
    /** The first servers of the key's ranking that may take the request; a few more than are compared. */
    readonly topRanked: (request: ChoiceRequest) => readonly BackendServer[];
    /** Servers that could have the request by what it is, whether they can take one now or not. */
    readonly candidates: (request: ChoiceRequest) => readonly BackendServer[];
}

/** Creates the search for servers. */
export function createEligibleServers(options: EligibleServersOptions): EligibleServers {
    const { catalog } = options;
    const rankings = createKeyRankings(options);

    return {
        topRanked: first,
        candidates: request => catalog.ofService(request.service).filter(server => isCandidate(server, request)),
    };

    function isCandidate(server: BackendServer, request: ChoiceRequest): boolean {
        const { region, zone } = server.state.record();
        return !request.tried.has(server.id)
            && options.admitsVersion(server, request.isTrial)
            && options.admitsZone(zone)
            && (request.allowedRegions === undefined || request.allowedRegions.has(region));
    }

    function isEligible(server: BackendServer, request: ChoiceRequest): boolean {
        return isCandidate(server, request) && server.state.exclusionReason(request.at) === undefined;
    }

    function first(request: ChoiceRequest): readonly BackendServer[] {
        const { isTrial, keyHash, route, service } = request;
        const ranking = { keyHash, sizeClass: options.transferSizes.sizeClass(route) };
        const all = rankings.admitted(service, isTrial);
        const ranked = route.sticky
            ? rankings.topRanked(service, ranking, isTrial)
            : topRankedServers(all, ranking, options, rankingLength);
        const isOutlier = createOutlierTest(all, request);
        const compared = withoutThoseAway(ranked, request, isOutlier);
        if (compared.length >= comparedCount || ranked.length === all.length) {
            return compared;
        }
        const usable = all.filter(server =>
            compared.includes(server)
            || isEligible(server, request) && !isOutlier(server) && !isKeptForOwnKeys(server, request)
        );
        return topRankedServers(usable, ranking, options, rankingLength);
    }

    /** The outliers are found once a suspicious server is asked about: most requests meet none. */
    function createOutlierTest(all: readonly BackendServer[], request: ChoiceRequest): OutlierTest {
        let outliers: ReadonlySet<BackendServer> | undefined;

        return function isOutlier(server) {
            if (request.isTrial || !mayBeOutlier(options.severity(server, request.at))) {
                return false;
            }
            outliers ??= findOutliers(
                all.filter(other => isEligible(other, request)),
                other => options.severity(other, request.at),
            );
            return outliers.has(server);
        };
    }

    /** The servers of a key's ranking that may have the request now. */
    function withoutThoseAway(
        ranked: readonly BackendServer[],
        request: ChoiceRequest,
        isOutlier: OutlierTest,
    ): readonly BackendServer[] {
        /** Place in the ranking of those that are there, limited ones included. */
        let place = 0;

        return ranked.filter(server => {
            const exclusion = server.state.exclusionReason(request.at);
            const isOwnKey = place < comparedCount;
            if (exclusion === "limited") {
                place += 1;
                options.keyRebalancing.onUnavailable(server, request.at);
                return false;
            }
            if (exclusion !== undefined || !options.admitsZone(server.state.record().zone) || isOutlier(server)) {
                options.keyRebalancing.onUnavailable(server, request.at);
                return false;
            }
            place += 1;
            return isCandidate(server, request) && (isOwnKey || !isKeptForOwnKeys(server, request));
        });
    }

    /**
     * A limited server is for the keys that rank it among the servers that are compared: where all are limited, the few requests would
     * else go to whoever has room, and nearly all of them would be cold work.
     */
    function isKeptForOwnKeys({ state }: BackendServer, { route }: ChoiceRequest): boolean {
        return route.sticky && state.limit()?.kind === "named";
    }
}

/** True for a server that does far worse than the others of its service. */
type OutlierTest = (server: BackendServer) => boolean;
