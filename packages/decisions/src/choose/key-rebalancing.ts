/**
 * Decides when keys return to a server that was unavailable to them: its availability
 * zone was closed, it was ejected, an outlier or cold, or it has just been listed.
 *
 * Other servers are warm for its keys by then, and while these have free slots nothing
 * moves a key back: a zone that is reopened would get no work. Each key therefore returns
 * at its own time, which its hash spreads over several seconds in the same way on all boxes.
 * The server is not flooded with unknown keys, and few requests change their region at once.
 *
 * Owns the last time at which each server was unavailable; relies on the choice to report it.
 */

import { type BackendServerId, hashText, type Milliseconds } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";

/** Return of keys to servers, as one box schedules it. */
export interface KeyRebalancing {
    /** The server can't take a key that ranks it. */
    readonly onUnavailable: (server: BackendServer, at: Milliseconds) => void;
    /** True while a key should return to the server although another one is warm for it. */
    readonly isDue: (server: BackendServer, keyHash: number, at: Milliseconds) => boolean;
}

/**
 * Milliseconds over which the keys of a server return; equals the time for which a server counts as warm for a key. No
 * window of 2 s then moves more than a fifth of the keys that had moved away; deployments allow 15 % of a region's
 * requests to change their region.
 */
const rebalancingPeriod = 10_000;
/**
 * Milliseconds for which a key stays due; after that, no other server is warm for a key that was not requested
 * meanwhile.
 */
const returnWindow = 10_000;
/** Servers whose times are kept, more than the largest services have; the oldest entry is evicted first. */
const maxServers = 2048;
/** Time of an event that never happened. */
const never = -Infinity;
/** Number of values of the hash that spreads the keys. */
const hashRange = 2 ** 32;

/** Creates the schedule; no server was unavailable yet. */
export function createKeyRebalancing(): KeyRebalancing {
    const lastUnavailableAt = new Map<BackendServerId, Milliseconds>();

    return {
        onUnavailable({ id }, at) {
            lastUnavailableAt.delete(id);
            lastUnavailableAt.set(id, at);
            if (lastUnavailableAt.size > maxServers) {
                const [oldest] = lastUnavailableAt.keys();
                lastUnavailableAt.delete(oldest);
            }
        },
        isDue({ addedAt, id }, keyHash, at) {
            // A restarted server knows no key, whenever its earlier incarnation was unavailable.
            const availableSince = Math.max(lastUnavailableAt.get(id) ?? never, addedAt ?? never);
            const dueFor = at - availableSince - returnDelayOf(keyHash);
            return dueFor >= 0 && dueFor < returnWindow;
        },
    };
}

function returnDelayOf(keyHash: number): number {
    return hashText(String(keyHash)) / hashRange * rebalancingPeriod;
}
