/**
 * The member record of this box at its start.
 *
 * Owns nothing; the membership keeps the record up to date.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { boxId } from "@chalkdale/kernel";
import type { BoxSettings } from "./settings.js";

/** Creates the record of a box that is not ready yet. */
export function createOwnRecord(settings: BoxSettings, incarnation: MemberRecord["incarnation"]): MemberRecord {
    return {
        box: boxId(settings.box),
        incarnation,
        heartbeat: 0,
        leaving: false,
        ready: false,
        region: settings.region,
        zone: settings.zone,
        peerAddress: `${settings.peers.host}:${settings.peers.port}`,
        callerAddress: `${settings.callers.host}:${settings.callers.port}`,
        capacity: settings.capacity,
        load: 0,
    };
}
