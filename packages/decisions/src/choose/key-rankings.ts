/**
 * The first servers of each key's ranking, kept while the list of servers and
 * the versions that may have requests stay as they are: a request then costs a
 * look at a few servers, however many a service has.
 *
 * Only servers of admitted versions are ranked: while a second version stands
 * beside the first one, half of a ranking of all would be of no use.
 *
 * Owns the rankings of the keys that were asked for lately; relies on the
 * catalog and on the admission of versions to say when they have changed.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { BackendServer, ServerCatalog } from "../servers/server-catalog.js";
import { type BoxLocality, type RankingInputs, topRankedServers } from "./server-ranking.js";

/** Rankings of one box. */
export interface KeyRankings {
    /** The service's servers whose version may have such a request, whatever their state. */
    readonly admitted: (service: ServiceId, isTrial: boolean) => readonly BackendServer[];
    /** The first of them in a key's ranking. */
    readonly topRanked: (service: ServiceId, request: RankingInputs, isTrial: boolean) => readonly BackendServer[];
}

export interface KeyRankingsOptions extends BoxLocality {
    readonly catalog: ServerCatalog;
    readonly admitsVersion: (server: BackendServer, isTrial: boolean) => boolean;
    readonly admissionVersion: (service: ServiceId) => number;
}

/**
 * Servers of a ranking that are kept: two are needed, the others stand in for those that are away, closed or full. With fewer
 * left the whole service is looked at.
 */
export const rankingLength = 12;
/** Keys whose rankings are kept, the oldest goes first: 12 references each, some 100 KB in all. */
const mostKeys = 512;

/** Admitted servers of one service, as of one state of the list and of the admission. */
interface AdmittedServers {
    readonly catalogVersion: number;
    readonly admissionVersion: number;
    readonly servers: readonly BackendServer[];
}

/** Creates the rankings of a box; none is kept yet. */
export function createKeyRankings(options: KeyRankingsOptions): KeyRankings {
    const { catalog } = options;
    const kept = new Map<string, readonly BackendServer[]>();
    const ordinary = new Map<ServiceId, AdmittedServers>();
    const trials = new Map<ServiceId, AdmittedServers>();

    return {
        admitted,
        topRanked(service, request, isTrial) {
            const servers = admitted(service, isTrial);
            const name = `${request.keyHash} ${request.sizeClass} ${isTrial ? "trial " : ""}${service}`;
            const known = kept.get(name);
            if (known !== undefined) {
                return known;
            }
            const ranking = topRankedServers(servers, request, options, rankingLength);
            keep(name, ranking);
            return ranking;
        },
    };

    function admitted(service: ServiceId, isTrial: boolean): readonly BackendServer[] {
        const lists = isTrial ? trials : ordinary;
        const known = lists.get(service);
        const catalogVersion = catalog.version();
        const admissionVersion = options.admissionVersion(service);
        if (known?.catalogVersion === catalogVersion && known.admissionVersion === admissionVersion) {
            return known.servers;
        }
        kept.clear();
        const servers = catalog.ofService(service).filter(server => options.admitsVersion(server, isTrial));
        lists.set(service, { catalogVersion, admissionVersion, servers });
        return servers;
    }

    function keep(name: string, ranking: readonly BackendServer[]): void {
        kept.set(name, ranking);
        if (kept.size > mostKeys) {
            const [oldest] = kept.keys();
            kept.delete(oldest);
        }
    }
}
