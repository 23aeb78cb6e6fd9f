/**
 * The catalog of servers as a box has it: what a cold server gets, and one that
 * names a limit, is bounded by rates that this box shares with others.
 *
 * Owns nothing; relies on the shared limits for who may send to such a server.
 */

import {
    createLimitShare,
    createServerCatalog,
    createServerState,
    createSlowStart,
    recordPropagationDelay,
    type ServerCatalog,
    type SharedLimits,
} from "@chalkdale/decisions";
import type { ServiceId } from "@chalkdale/kernel";
import type { BoxSettings } from "../settings.js";

/** Creates the catalog; empty at first. `coldRateOf`: requests a second to a cold server, from all boxes together. */
export function createBoxServerCatalog(
    settings: BoxSettings,
    limits: SharedLimits,
    coldRateOf: (service: ServiceId) => number,
): ServerCatalog {
    return createServerCatalog((record, at) => {
        const sharing = {
            self: settings.box,
            server: record.id,
            boxes: () => limits.eligibleSenders(record.region),
            advertisedBoxIds: limits.advertisedIds,
        };
        return createServerState(record, at, {
            recordPropagationDelay,
            slowStart: createSlowStart({ ...sharing, rate: () => coldRateOf(record.service) }),
            createLimitShare: known => createLimitShare(sharing, known),
        });
    });
}
