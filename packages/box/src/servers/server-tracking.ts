/**
 * All that one box knows of backend servers: their catalog, and what it learns of them from
 * their answers and from other boxes.
 *
 * Owns the parts; relies on the shared state to keep the catalog up to date.
 */

import {
    createOutlierReports,
    type MemberRecord,
    type OutlierReports,
    type ServerCatalog,
    type SharedLimits,
} from "@chalkdale/decisions";
import { boxId, type Clock, type ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import { createOutlierGossip, type OutlierGossip } from "../peers/outlier-gossip.js";
import type { BoxSettings } from "../settings.js";
import { createBoxServerCatalog } from "./box-server-catalog.js";
import type { LimitReport } from "./limit-messages.js";
import { createLimitedServers, type LimitedServers } from "./limited-servers.js";
import { createRecentSends, type RecentSends } from "./recent-sends.js";
import { createServerNotices, type ServerNotices } from "./server-notices.js";

export interface ServerTrackingOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly settings: BoxSettings;
    readonly protocol: CallerProtocol;
    readonly limits: SharedLimits;
    /** Requests a second that a cold server of a service bears; 0 for a service that the configuration doesn't name. */
    readonly coldRate: (service: ServiceId) => number;
    readonly sendLimits: (box: MemberRecord, reports: readonly LimitReport[]) => void;
}

/** What one box knows of servers. */
export interface ServerTracking {
    readonly catalog: ServerCatalog;
    readonly evidence: OutlierReports;
    readonly serverReports: OutlierGossip;
    readonly recentSends: RecentSends;
    readonly limitedServers: LimitedServers;
    readonly serverNotices: ServerNotices;
}

/** Creates it; no server is known. */
export function createServerTracking(options: ServerTrackingOptions): ServerTracking {
    const { clock, limits, log, protocol, settings } = options;
    const catalog = createBoxServerCatalog(settings, limits, options.coldRate);
    const evidence = createOutlierReports(boxId(settings.box));
    return {
        catalog,
        evidence,
        serverReports: createOutlierGossip({ clock, self: boxId(settings.box), catalog, evidence }),
        recentSends: createRecentSends(clock),
        limitedServers: createLimitedServers({
            clock,
            random: options.random,
            log,
            protocol,
            catalog,
            otherAdvertisedBoxes: () => limits.advertised().filter(({ box }) => box !== settings.box),
            sharesLimit: ({ box }, server) => limits.eligibleSenders(server.state.record().region).includes(box),
            send: options.sendLimits,
        }),
        serverNotices: createServerNotices({ catalog, clock, log, protocol }),
    };
}
