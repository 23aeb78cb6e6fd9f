/**
 * The catalog of servers as a box has it: each cold server is bounded by a slow
 * start that this box shares with others.
 *
 * Owns nothing; relies on the shared limits for who sends to a cold server.
 */

import {
    createServerCatalog,
    createServerState,
    createSlowStart,
    recordDelay,
    type ServerCatalog,
    type SharedLimits,
} from "@chalkdale/decisions";
import type { ServiceId } from "@chalkdale/kernel";
import type { BoxSettings } from "../settings.js";

/** Creates the catalog; empty at first. `coldRateOf`: requests a second to a cold server, from all boxes together. */
export function createCatalog(
    settings: BoxSettings,
    limits: SharedLimits,
    coldRateOf: (service: ServiceId) => number,
): ServerCatalog {
    return createServerCatalog((record, at) =>
        createServerState(record, at, {
            recordDelay,
            slowStart: createSlowStart({
                self: settings.box,
                server: record.id,
                boxes: () => limits.slowStartSenders(record.region),
                rate: () => coldRateOf(record.service),
            }),
        })
    );
}
