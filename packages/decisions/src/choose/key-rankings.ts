/**
 * The first servers of each key's ranking, kept while the list of servers stays
 * as it is: a request then costs a look at a few servers, however many a service has.
 *
 * Owns the rankings of the keys that were asked for lately; relies on the
 * catalog to say when its list has changed.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { BackendServer, ServerCatalog } from "../servers/server-catalog.js";
import { type BoxPlace, firstOfRanking, type RankedRequest } from "./compared-servers.js";

/** Rankings of one box. */
export interface KeyRankings {
    /** The first servers of a key's ranking, whatever their state. */
    readonly first: (service: ServiceId, request: RankedRequest) => readonly BackendServer[];
}

/**
 * Servers of a ranking that are kept: two are needed, the others stand in for those that are away, closed or full. With fewer
 * left the whole service is looked at. Not measured against other numbers.
 */
export const rankedCount = 12;
/** Keys whose rankings are kept, the oldest goes first: 12 references each, some 100 KB in all. Not measured. */
const mostKeys = 512;

/** Creates the rankings of a box; none is kept yet. */
export function createKeyRankings(catalog: ServerCatalog, place: BoxPlace): KeyRankings {
    const kept = new Map<string, readonly BackendServer[]>();
    let version = catalog.version();

    return {
        first(service, request) {
            if (catalog.version() !== version) {
                version = catalog.version();
                kept.clear();
            }
            const name = `${request.keyHash} ${request.step} ${service}`;
            const known = kept.get(name);
            if (known !== undefined) {
                return known;
            }
            const ranking = firstOfRanking(catalog.ofService(service), request, place, rankedCount);
            keep(name, ranking);
            return ranking;
        },
    };

    function keep(name: string, ranking: readonly BackendServer[]): void {
        kept.set(name, ranking);
        if (kept.size > mostKeys) {
            const [oldest] = kept.keys();
            kept.delete(oldest);
        }
    }
}
