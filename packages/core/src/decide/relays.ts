/**
 * Which boxes relay state between availability zones, which watch the
 * platform, and which probe a backend server: all by rendezvous hashing, so
 * that every box works it out alone and little moves when a box comes or goes.
 */

import { rankByRendezvous } from "../kernel/hash.js";
import type { BoxId, ServerId, ZoneId } from "../kernel/ids.js";

/** A box as far as the choice of relays needs it. */
export interface PeerBox {
    readonly box: BoxId;
    readonly zone: ZoneId;
}

/** Returns the relays of a zone, best first; all its boxes if there are not more. */
export function relaysOf(zone: ZoneId, boxes: readonly PeerBox[], count: number): BoxId[] {
    const inZone = boxes.filter(peer => peer.zone === zone).map(peer => peer.box);
    return rankByRendezvous(`relay ${zone}`, inZone).slice(0, count);
}

/** The boxes that a box subscribes to. */
export interface Subscriptions {
    readonly isRelay: boolean;
    readonly sources: readonly BoxId[];
}

/**
 * Returns whom a box subscribes to: a relay to all other relays, any other
 * box to the relays of its zone.
 */
export function planSubscriptions(
    self: PeerBox,
    boxes: readonly PeerBox[],
    relaysPerZone: number,
): Subscriptions {
    const own = relaysOf(self.zone, boxes, relaysPerZone);
    if (!own.includes(self.box)) {
        return { isRelay: false, sources: own };
    }
    const zones = [...new Set(boxes.map(peer => peer.zone))].sort();
    const relays = zones.flatMap(zone => relaysOf(zone, boxes, relaysPerZone));
    return { isRelay: true, sources: relays.filter(box => box !== self.box) };
}

/** Boxes that probe one backend server. */
export const probersPerServer = 2;

/** Returns whether a box probes a server, among the boxes of the server's zone or, without any, its region. */
export function isProber(self: BoxId, server: ServerId, boxes: readonly BoxId[]): boolean {
    return rankByRendezvous(`probe ${server}`, boxes).slice(0, probersPerServer).includes(self);
}
