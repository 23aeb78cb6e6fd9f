/**
 * Affinity keys that each server has worked on recently, as far as this box knows.
 *
 * Owns the keys of the last seconds; relies on the answers that this box received.
 */

import type { BackendServerId, Milliseconds } from "@chalkdale/kernel";

/** Recent keys by server; a server that has a key is warm for it. */
export interface RecentKeys {
    readonly add: (server: BackendServerId, keyHash: number, at: Milliseconds) => void;
    readonly has: (server: BackendServerId, keyHash: number, at: Milliseconds) => boolean;
    readonly forget: (server: BackendServerId) => void;
}

/** Keys kept for each server, the oldest is evicted first; servers themselves keep 11 to 66 objects. */
const maxKeys = 64;
/** Milliseconds after which the server is assumed to have forgotten a key. */
const keyLifetime = 10_000;

/** Creates an empty record of keys. */
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
            if (keys.size > maxKeys) {
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
