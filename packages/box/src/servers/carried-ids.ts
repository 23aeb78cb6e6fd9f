/**
 * The ids of the requests that a connection to a server has carried.
 *
 * A server may send an answer again, at any time. If a request were sent again over a connection that has carried its
 * id, a copy of the earlier answer could not be told from the answer to the later send: a copy of "not run" would free
 * a request to run twice, or to be refused although it runs. An id identifies an answer only while its connection
 * carries it once.
 *
 * Owns the ids of each connection for as long as it exists, as hashes: two ids with the same hash count as one, which
 * costs no more than the use of another connection.
 */

import type { Socket } from "node:net";

/** Ids by connection. */
export interface CarriedIds {
    readonly add: (socket: Socket, requestId: string) => void;
    /** True if the connection has carried the id. */
    readonly has: (socket: Socket, requestId: string) => boolean;
    /** True once a connection has carried as many ids as are kept for one; it must not be used again. */
    readonly isFull: (socket: Socket) => boolean;
}

interface Hashes {
    values: Uint32Array;
    count: number;
}

/** Ids kept for one connection, 16 KB; bounds both the memory and the search. */
const maxIdsPerConnection = 4096;
/** Ids for which a connection has room at first. */
const firstCapacity = 16;

/** Parameters of the FNV-1a hash with 32 bits. */
const hashBasis = 0x811c9dc5;
const hashPrime = 0x01000193;

/** Creates an empty collection. */
export function createCarriedIds(): CarriedIds {
    const bySocket = new WeakMap<Socket, Hashes>();

    return {
        add(socket, requestId) {
            const hashes = bySocket.get(socket) ?? { values: new Uint32Array(firstCapacity), count: 0 };
            bySocket.set(socket, hashes);
            if (hashes.count === hashes.values.length) {
                const larger = new Uint32Array(2 * hashes.count);
                larger.set(hashes.values);
                hashes.values = larger;
            }
            hashes.values[hashes.count] = hashOf(requestId);
            hashes.count += 1;
        },
        has(socket, requestId) {
            const hashes = bySocket.get(socket);
            if (hashes === undefined) {
                return false;
            }
            const position = hashes.values.indexOf(hashOf(requestId));
            return position >= 0 && position < hashes.count;
        },
        isFull: socket => (bySocket.get(socket)?.count ?? 0) >= maxIdsPerConnection,
    };
}

function hashOf(requestId: string): number {
    let hash = hashBasis;
    for (let index = 0; index < requestId.length; index++) {
        hash = Math.imul(hash ^ requestId.charCodeAt(index), hashPrime);
    }
    return hash >>> 0;
}
