/**
 * Everything that one box knows about backend servers: their catalog, and what it
 * learns about them from their answers and from other boxes.
 *
 * Owns these parts; relies on the shared state to keep the catalog up to date.
 */

import {
    type BackendServer,
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
import type { ColdReport } from "./cold-messages.js";
import { type ColdServerSharing, createColdServerSharing } from "./cold-server-sharing.js";
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
    /**
     * Requests a second to a cold server of a service, from all boxes together; 0 for a service that is not configured.
     */
    readonly coldRate: (service: ServiceId) => number;
    /** False for a server whose direct path is cut. */
    readonly isReachedDirectly: (server: BackendServer) => boolean;
    /** Boxes that any box has heard from lately, without this one. */
    readonly recentMembers: () => readonly MemberRecord[];
    readonly sendLimits: (box: MemberRecord, reports: readonly LimitReport[]) => void;
    readonly sendColdReports: (box: MemberRecord, reports: readonly ColdReport[]) => void;
}

/** What one box knows about servers. */
export interface ServerTracking {
    readonly catalog: ServerCatalog;
    readonly outlierReports: OutlierReports;
    readonly outlierGossip: OutlierGossip;
    readonly recentSends: RecentSends;
    readonly limitedServers: LimitedServers;
    readonly coldServerSharing: ColdServerSharing;
    readonly serverNotices: ServerNotices;
}

/** Creates the tracking of a box that knows no server yet. */
export function createServerTracking(options: ServerTrackingOptions): ServerTracking {
    const { clock, limits, log, protocol, settings } = options;
    const catalog = createBoxServerCatalog(settings, limits, options.coldRate);
    const outlierReports = createOutlierReports(boxId(settings.box));
    return {
        catalog,
        outlierReports,
        outlierGossip: createOutlierGossip({
            clock,
            self: boxId(settings.box),
            catalog,
            outlierReports,
            isReachedDirectly: options.isReachedDirectly,
        }),
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
        coldServerSharing: createColdServerSharing({
            clock,
            catalog,
            recentMembers: options.recentMembers,
            send: options.sendColdReports,
        }),
        serverNotices: createServerNotices({ catalog, clock, log, protocol }),
    };
}
