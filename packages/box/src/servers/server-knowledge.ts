/**
 * All that one box knows of backend servers: their catalog, and what it learns of them from
 * their answers and from other boxes.
 *
 * Owns the parts; relies on the shared state to keep the catalog up to date.
 */

import {
    createSharedEvidence,
    type MemberRecord,
    type ServerCatalog,
    type SharedEvidence,
    type SharedLimits,
} from "@chalkdale/decisions";
import { boxId, type Clock, type ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import { createServerReports, type ServerReports } from "../peers/server-reports.js";
import type { BoxSettings } from "../settings.js";
import { createCatalog } from "./catalog.js";
import type { LimitReport } from "./limit-messages.js";
import { createLimitedServers, type LimitedServers } from "./limited-servers.js";
import { createRecentSends, type RecentSends } from "./recent-sends.js";
import { createServerNotices, type ServerNotices } from "./server-notices.js";

export interface ServerKnowledgeOptions {
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
export interface ServerKnowledge {
    readonly catalog: ServerCatalog;
    readonly evidence: SharedEvidence;
    readonly serverReports: ServerReports;
    readonly recentSends: RecentSends;
    readonly limitedServers: LimitedServers;
    readonly serverNotices: ServerNotices;
}

/** Creates it; no server is known. */
export function createServerKnowledge(options: ServerKnowledgeOptions): ServerKnowledge {
    const { clock, limits, log, protocol, settings } = options;
    const catalog = createCatalog(settings, limits, options.coldRate);
    const evidence = createSharedEvidence(boxId(settings.box));
    return {
        catalog,
        evidence,
        serverReports: createServerReports({ clock, self: boxId(settings.box), catalog, evidence }),
        recentSends: createRecentSends(clock),
        limitedServers: createLimitedServers({
            clock,
            random: options.random,
            log,
            protocol,
            catalog,
            others: () => limits.advertised().filter(({ box }) => box !== settings.box),
            sharesLimit: ({ box }, server) => limits.boxesNear(server.state.record().region).includes(box),
            send: options.sendLimits,
        }),
        serverNotices: createServerNotices({ catalog, clock, log, protocol }),
    };
}
