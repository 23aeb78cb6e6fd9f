/**
 * When keys come back to a server that could not have them for a while: its
 * availability zone was closed, it was ejected, an outlier or cold, or it has just been listed.
 *
 * Meanwhile other servers have come to know its keys, and as long as they have room nothing
 * draws a key back: the zone that was taken back would get no work. So each key comes back at a time of its own, spread by
 * its hash over some seconds, alike on all boxes: the server is not flooded with unknown keys, and few requests
 * change their region at once.
 *
 * Owns the last time at which each server was away; relies on the choice to tell it.
 */

import { type BackendServerId, hashText, type Milliseconds } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";

/** The returns of one box's keys. */
export interface KeyRebalancing {
    /** The server may not have a key now. */
    readonly onUnavailable: (server: BackendServer, at: Milliseconds) => void;
    /** True while a key is to come back to the server, though another one knows it. */
    readonly isDue: (server: BackendServer, keyHash: number, at: Milliseconds) => boolean;
}

/**
 * Milliseconds over which the keys of a server come back: as long as a key counts as known to a server that it was sent to. No window of
 * 2 s then moves more than a fifth of the keys that were away, where deployments allow 15 of 100 of a region's requests to change their region.
 */
const returnTime = 10_000;
/** Milliseconds after its own time for which a key may come back; one that is asked for less often is not known elsewhere any more. */
const returnLasts = 10_000;
/** Servers whose times are kept; the oldest goes first. More than a service of the largest fleets has. */
const mostServers = 2048;
/** Time of what has not been. */
const never = -Infinity;
/** Values of the hash by which keys are spread. */
const hashRange = 2 ** 32;

/** Creates the returns; no server was away. */
export function createKeyRebalancing(): KeyRebalancing {
    const lastAway = new Map<BackendServerId, Milliseconds>();

    return {
        onUnavailable({ id }, at) {
            lastAway.delete(id);
            lastAway.set(id, at);
            if (lastAway.size > mostServers) {
                const [oldest] = lastAway.keys();
                lastAway.delete(oldest);
            }
        },
        isDue({ addedAt, id }, keyHash, at) {
            // A server that has started again knows no key, whenever the life before it was away.
            const backSince = Math.max(lastAway.get(id) ?? never, addedAt ?? never);
            const returned = at - backSince - delayOf(keyHash);
            return returned >= 0 && returned < returnLasts;
        },
    };
}

function delayOf(keyHash: number): number {
    return hashText(String(keyHash)) / hashRange * returnTime;
}
