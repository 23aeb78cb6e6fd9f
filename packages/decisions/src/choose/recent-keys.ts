/**
 * The affinity keys that a server worked on recently, as far as this box knows.
 *
 * Owns the keys of the last seconds; relies on answers that this box had.
 */

import type { BackendServerId, Milliseconds } from "@chalkdale/kernel";

/** Remembers keys by server. */
export interface RecentKeys {
    readonly add: (server: BackendServerId, keyHash: number, at: Milliseconds) => void;
    readonly has: (server: BackendServerId, keyHash: number, at: Milliseconds) => boolean;
    readonly forget: (server: BackendServerId) => void;
}

/** Keys remembered for each server, the oldest goes first: servers that were seen remember 11 to 66. */
const mostKeys = 64;
/** Milliseconds after which a key is taken as forgotten by the server. */
const keyLifetime = 10_000;

/** Creates an empty memory. */
export function createRecentKeys(): RecentKeys {
    const byServer = new Map<BackendServerId, Map<number, Milliseconds>>();

    return {
        add(server, keyHash, at) {
            let keys = byServer.get(server);
            if (keys === undefined) {
                keys = new Map();
                byServer.set(server, keys);
            }
            keys.delete(keyHash);
            keys.set(keyHash, at);
            if (keys.size > mostKeys) {
                const [oldest] = keys.keys();
                keys.delete(oldest);
            }
        },
        has(server, keyHash, at) {
            const seenAt = byServer.get(server)?.get(keyHash);
            return seenAt !== undefined && at - seenAt < keyLifetime;
        },
        forget: server => {
            byServer.delete(server);
        },
    };
}
