/**
 * Which servers this box checks while the store confirms no list of servers, to learn whether they have turned cold. One
 * box checks each server; boxes that don't see most others share the checks by checking less often.
 *
 * Owns the time of the last such check of each server; the health checker runs them.
 */

import { type BackendServer, createBoxRank, type SharedLimits } from "@chalkdale/decisions";
import { type AvailabilityZoneId, type BoxId, type Clock, hashText } from "@chalkdale/kernel";

export interface UnconfirmedChecksOptions {
    readonly clock: Clock;
    readonly self: BoxId;
    readonly limits: Pick<SharedLimits, "eligibleSenders" | "equalParts">;
    /** True while the store does not answer this box. */
    readonly isStoreUnavailable: () => boolean;
    /** Milliseconds since the store confirmed the list of servers, to any box. */
    readonly serversAge: () => number;
    /** False for an availability zone that is closed to requests. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
}

/** Checks of servers whose records may be out of date. */
export interface UnconfirmedChecks {
    /** True if the server is to be checked now, which counts as checked from then on. */
    readonly takeDue: (server: BackendServer) => boolean;
}

/** Age in milliseconds of the list of servers from which they are checked, if the store does not answer. */
const unconfirmedAge = 500;
/** Milliseconds between two checks of a server by all boxes together. */
const checkInterval = 500;
/** Hashes are below this number. */
const hashRange = 2 ** 32;

/** Creates the checks of a box. */
export function createUnconfirmedChecks(options: UnconfirmedChecksOptions): UnconfirmedChecks {
    const { clock, limits, self } = options;
    const rankings = new WeakMap<BackendServer, ReturnType<typeof createBoxRank>>();
    const checkedAt = new WeakMap<BackendServer, number>();

    return {
        takeDue(server) {
            if (!areRecordsUnconfirmed() || !mayTurnCold(server)) {
                return false;
            }
            const interval = intervalOf(server);
            if (interval === undefined) {
                return false;
            }
            // The first checks of boxes that don't see each other are spread over the interval as well.
            const last = checkedAt.get(server) ?? firstCheckedAt(server, interval);
            if (clock() - last < interval) {
                return false;
            }
            checkedAt.set(server, clock());
            return true;
        },
    };

    function areRecordsUnconfirmed(): boolean {
        return options.isStoreUnavailable() && options.serversAge() >= unconfirmedAge;
    }

    /** False for a server that gets no requests, or is known to be cold. A check is a request to a server as well. */
    function mayTurnCold({ state }: BackendServer): boolean {
        return !state.isOutOfService() && !state.isCold(clock()) && state.backoffUntil() <= clock()
            && options.admitsZone(state.record().zone);
    }

    /** Milliseconds between two checks of this box; undefined if another box checks the server. */
    function intervalOf(server: BackendServer): number | undefined {
        const parts = limits.equalParts();
        if (parts !== undefined) {
            return Number.isFinite(parts) ? checkInterval * parts : undefined;
        }
        return rankOf(server) === 0 ? checkInterval : undefined;
    }

    function rankOf(server: BackendServer): number | undefined {
        const rank = rankings.get(server) ?? createBoxRank({ self, subject: server.id });
        rankings.set(server, rank);
        return rank(limits.eligibleSenders(server.state.record().region));
    }

    function firstCheckedAt(server: BackendServer, interval: number): number {
        const at = clock() - interval * hashText(`${self} ${server.id}`) / hashRange;
        checkedAt.set(server, at);
        return at;
    }
}
