/**
 * Caches the first servers of each key's ranking while the list of servers and the
 * admitted versions don't change, so that a request examines a few servers however
 * many its service has.
 *
 * Only servers of admitted versions are ranked: during a roll-out, half of a ranking
 * of both versions would be of no use to a request.
 *
 * Owns the rankings of recently requested keys; relies on the version numbers of the
 * catalog and of the admission to detect changes.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { BackendServer, ServerCatalog } from "../servers/server-catalog.js";
import { type BoxLocality, type RankingInputs, topRankedServers } from "./server-ranking.js";

/** Key rankings of one box. */
export interface KeyRankings {
    /** The service's servers that `admitsVersion` admits to trial or ordinary requests, in any state. */
    readonly admitted: (service: ServiceId, isTrial: boolean) => readonly BackendServer[];
    /** The first `rankingLength` of them in a key's ranking. */
    readonly topRanked: (service: ServiceId, request: RankingInputs, isTrial: boolean) => readonly BackendServer[];
}

export interface KeyRankingsOptions extends BoxLocality {
    readonly catalog: ServerCatalog;
    readonly admitsVersion: (server: BackendServer, isTrial: boolean) => boolean;
    readonly admissionVersion: (service: ServiceId) => number;
}

/**
 * Servers kept of each ranking: two are compared, and the others replace servers that are unavailable, in closed
 * availability zones or full. If fewer than two are left, the whole service is ranked.
 */
export const rankingLength = 12;
/** Rankings kept, about 100 KB with 12 references each; the oldest is evicted first. */
const maxRankings = 512;

/** Admitted servers of one service, and the version numbers that the list is valid for. */
interface AdmittedServers {
    readonly catalogVersion: number;
    readonly admissionVersion: number;
    readonly servers: readonly BackendServer[];
}

/** Creates an empty cache of rankings. */
export function createKeyRankings(options: KeyRankingsOptions): KeyRankings {
    const { catalog } = options;
    const rankings = new Map<string, readonly BackendServer[]>();
    const ordinaryServers = new Map<ServiceId, AdmittedServers>();
    const trialServers = new Map<ServiceId, AdmittedServers>();

    return {
        admitted,
        topRanked(service, request, isTrial) {
            const servers = admitted(service, isTrial);
            const cacheKey = `${request.keyHash} ${request.sizeClass} ${isTrial ? "trial " : ""}${service}`;
            const known = rankings.get(cacheKey);
            if (known !== undefined) {
                return known;
            }
            const ranking = topRankedServers(servers, request, options, rankingLength);
            keep(cacheKey, ranking);
            return ranking;
        },
    };

    function admitted(service: ServiceId, isTrial: boolean): readonly BackendServer[] {
        const lists = isTrial ? trialServers : ordinaryServers;
        const known = lists.get(service);
        const catalogVersion = catalog.version();
        const admissionVersion = options.admissionVersion(service);
        if (known?.catalogVersion === catalogVersion && known.admissionVersion === admissionVersion) {
            return known.servers;
        }
        rankings.clear();
        const servers = catalog.ofService(service).filter(server => options.admitsVersion(server, isTrial));
        lists.set(service, { catalogVersion, admissionVersion, servers });
        return servers;
    }

    function keep(cacheKey: string, ranking: readonly BackendServer[]): void {
        rankings.set(cacheKey, ranking);
        if (rankings.size > maxRankings) {
            const [oldest] = rankings.keys();
            rankings.delete(oldest);
        }
    }
}
