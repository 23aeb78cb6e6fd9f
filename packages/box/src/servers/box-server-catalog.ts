/**
 * The catalog of servers of one box. Requests to a cold server, and to one that
 * reports a rate limit, are limited to a rate that this box shares with others.
 *
 * Owns nothing; relies on the shared limits for the boxes that may send to such a server.
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

/** Creates an empty catalog. `coldRateOf`: requests a second to a cold server, from all boxes together. */
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
            equalParts: limits.equalParts,
        };
        return createServerState(record, at, {
            recordPropagationDelay,
            slowStart: createSlowStart({ ...sharing, rate: () => coldRateOf(record.service) }),
            createLimitShare: known => createLimitShare(sharing, known),
        });
    });
}
