/**
 * Finds the servers that may take a request, in the order of its key's ranking:
 * those of an admitted version that were not tried yet, are in an availability zone
 * that admits requests and in an allowed region, and are neither excluded nor outliers.
 *
 * Outliers are kept for trial requests: leaving them out would hide the failures
 * that the trial is there to detect.
 *
 * Owns the cached rankings of keys; relies on the catalog and on the severity of
 * each server.
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
    /** Severity of a server by the results of this box and of others in the region; see `ServerState.severity`. */
    readonly severity: (server: BackendServer, at: Milliseconds) => number;
    readonly transferSizes: Pick<TransferSizes, "sizeClass">;
    readonly keyRebalancing: Pick<KeyRebalancing, "onUnavailable">;
    /** False for an availability zone that is closed to requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
    /**
     * False for a server whose version must not get the request: a trial request if `isTrial` is true, otherwise an
     * ordinary one; see `ServedVersions`.
     */
    readonly admitsVersion: (server: BackendServer, isTrial: boolean) => boolean;
    /** Increases whenever the result of `admitsVersion` may have changed for the service's servers. */
    readonly admissionVersion: (service: ServiceId) => number;
}

/** Search for servers that a request may go to. */
export interface EligibleServers {
    /**
     * The first servers of the key's ranking that may take the request now, up to `rankingLength` of them; the first
     * `comparedCount` are compared.
     */
    readonly topRanked: (request: ChoiceRequest) => readonly BackendServer[];
    /**
     * Servers that were not tried yet and whose version, availability zone and region admit the request, including
     * those that are excluded now.
     */
    readonly candidates: (request: ChoiceRequest) => readonly BackendServer[];
}

/** Creates the search, with no ranking cached. */
export function createEligibleServers(options: EligibleServersOptions): EligibleServers {
    const { catalog } = options;
    const rankings = createKeyRankings(options);

    return {
        topRanked: findTopRanked,
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

    function findTopRanked(request: ChoiceRequest): readonly BackendServer[] {
        const { isTrial, keyHash, route, service } = request;
        const ranking = { keyHash, sizeClass: options.transferSizes.sizeClass(route) };
        const admitted = rankings.admitted(service, isTrial);
        const ranked = route.sticky
            ? rankings.topRanked(service, ranking, isTrial)
            : topRankedServers(admitted, ranking, options, rankingLength);
        const isOutlier = createOutlierTest(admitted, request);
        const available = withoutUnavailable(ranked, request, isOutlier);
        if (available.length >= comparedCount || ranked.length === admitted.length) {
            return available;
        }
        const usable = admitted.filter(server =>
            available.includes(server)
            || isEligible(server, request) && !isOutlier(server) && !isReservedForOwnKeys(server, request)
        );
        return topRankedServers(usable, ranking, options, rankingLength);
    }

    /** Computes the outliers only when a server has a high severity; for most requests none does. */
    function createOutlierTest(admitted: readonly BackendServer[], request: ChoiceRequest): OutlierTest {
        let outliers: ReadonlySet<BackendServer> | undefined;

        return function isOutlier(server) {
            if (request.isTrial || !mayBeOutlier(options.severity(server, request.at))) {
                return false;
            }
            outliers ??= findOutliers(
                admitted.filter(other => isEligible(other, request)),
                other => options.severity(other, request.at),
            );
            return outliers.has(server);
        };
    }

    /** Filters a key's ranking down to the servers that may take the request now. */
    function withoutUnavailable(
        ranked: readonly BackendServer[],
        request: ChoiceRequest,
        isOutlier: OutlierTest,
    ): readonly BackendServer[] {
        /** Position among the available servers of the ranking; rate-limited servers hold a position as well. */
        let position = 0;

        return ranked.filter(server => {
            const exclusionReason = server.state.exclusionReason(request.at);
            const isComparedPosition = position < comparedCount;
            if (exclusionReason === "limited") {
                position += 1;
                options.keyRebalancing.onUnavailable(server, request.at);
                return false;
            }
            if (exclusionReason !== undefined || !options.admitsZone(server.state.record().zone) || isOutlier(server)) {
                options.keyRebalancing.onUnavailable(server, request.at);
                return false;
            }
            position += 1;
            return isCandidate(server, request) && (isComparedPosition || !isReservedForOwnKeys(server, request));
        });
    }

    /**
     * A rate-limited server takes only keys that rank it among the servers that are compared. If all servers are
     * limited, the few requests would otherwise go to any server with capacity left, and nearly all of them would be
     * cold work.
     */
    function isReservedForOwnKeys({ state }: BackendServer, { route }: ChoiceRequest): boolean {
        return route.sticky && state.limit()?.kind === "named";
    }
}

/** True for a server whose severity is far above that of the others of its service. */
type OutlierTest = (server: BackendServer) => boolean;
