/**
 * Partitions boxes from servers: their open connections go silent, are reset or stay
 * usable, and new ones hang or are refused. Other boxes, callers and the store are
 * not affected. Partitions boxes from each other as well: no datagram and no new
 * connection passes between them.
 *
 * Relies on a proxy before each server for the open connections, and on the rules for
 * new ones and for datagrams.
 */

import type { FaultProxy } from "../soak/fault-proxy.js";
import { addConnectionCutRule, type ConnectionCutKind } from "./connection-cuts.js";
import { addDatagramCutRule } from "./datagram-cuts.js";

/**
 * How links are cut: `silent` and `reset` say what happens to open connections; with `newOnly`, they stay usable. New
 * connections hang if the cut is silent, and are refused otherwise.
 */
export type PartitionKind = "silent" | "reset" | "newOnly";

/** All kinds of partitions. */
export const partitionKinds: readonly PartitionKind[] = ["silent", "reset", "newOnly"];

/** What happens to new connections in a partition. */
export function newConnectionCut(kind: PartitionKind): ConnectionCutKind {
    return kind === "silent" ? "hang" : "refuse";
}

/** Cuts the open connections of a box to a server; returns the function that ends a silent cut. */
export function cutOpenConnections(proxy: FaultProxy, boxHost: string, kind: PartitionKind): () => void {
    switch (kind) {
        case "silent":
            proxy.setSilentFor(boxHost, true);
            return () => proxy.setSilentFor(boxHost, false);
        case "reset":
            proxy.resetOpenConnections(boxHost);
            return () => undefined;
        case "newOnly":
            return () => undefined;
    }
}

/** Partitions boxes of this process from the servers behind proxies; returns the function that ends it. */
export function partition(
    boxHosts: readonly string[],
    proxies: readonly FaultProxy[],
    kind: PartitionKind,
): () => void {
    const cutHosts = new Set(boxHosts);
    const cutAddresses = new Set(proxies.map(proxy => proxy.address()));
    const removeRule = addConnectionCutRule((localHost, remoteAddress) =>
        cutHosts.has(localHost) && cutAddresses.has(remoteAddress) ? newConnectionCut(kind) : undefined
    );
    const ends = boxHosts.flatMap(host => proxies.map(proxy => cutOpenConnections(proxy, host, kind)));
    return () => {
        removeRule();
        ends.forEach(end => end());
    };
}

/**
 * Partitions boxes of this process from each other, each from all others; returns the function that ends it.
 * `peerAddresses` are the addresses at which boxes reach each other.
 */
export function partitionFromEachOther(peerAddresses: readonly string[]): () => void {
    const addresses = new Set(peerAddresses);
    const removeDatagramRule = addDatagramCutRule(remoteAddress => addresses.has(remoteAddress));
    const removeConnectionRule = addConnectionCutRule((_, remoteAddress) =>
        addresses.has(remoteAddress) ? "hang" : undefined
    );
    return () => {
        removeDatagramRule();
        removeConnectionRule();
    };
}
