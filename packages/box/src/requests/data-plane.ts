/**
 * The data plane of a box: wires up the choice of servers, the attempts, and the
 * estimates that are learned from them.
 *
 * Owns the learned estimates (idle timeouts, keys, work, transfer sizes, round
 * trips, load of services), which may all be lost, and the connections to servers.
 */

import {
    type BackendServer,
    bodyMemoryLimit,
    type CopyAgeBounds,
    createBodyMemory,
    createCallerRetryPacer,
    createRecentKeys,
    createRoundTrips,
    createServerChoice,
    createServiceLoad,
    createTransferSizes,
    createWorkEstimate,
    type Membership,
    type OutlierReports,
    type RefusalKind,
    type RestartedServer,
    retryAfterBackoff,
    retryAfterRefusal,
    type ServedVersions,
    type ServerCatalog,
    type SharedLimits,
    type ShutdownPhase,
} from "@chalkdale/decisions";
import { type BackendServerId, type Clock, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { LoopShare } from "../loop-share.js";
import type { BoxMetrics } from "../metrics.js";
import type { ForwardingEndpoint } from "../paths/forwarding-endpoint.js";
import type { PathMonitor } from "../paths/path-monitor.js";
import type { PoisonRequestGuard } from "../poison-requests/poison-request-guard.js";
import type { CustomerQuotas } from "../quotas/customer-quotas.js";
import type { TrialHooks } from "../rollouts/trials.js";
import type { LimitedServers } from "../servers/limited-servers.js";
import type { RecentSends } from "../servers/recent-sends.js";
import { createServerConnections } from "../servers/server-connections.js";
import type { ServerNotices } from "../servers/server-notices.js";
import type { BoxSettings } from "../settings.js";
import type { SharedState } from "../state/shared-state.js";
import type { TrafficLocality, TrafficPurpose } from "../traffic-meter.js";
import type { ActiveRequest } from "./active-request.js";
import { createAttempts } from "./attempts.js";
import { createRequestHandler, type RequestHandler } from "./request-handler.js";

export interface DataPlaneOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly metrics: BoxMetrics;
    readonly protocol: CallerProtocol;
    readonly settings: BoxSettings;
    readonly state: SharedState;
    readonly catalog: ServerCatalog;
    readonly limits: SharedLimits;
    readonly membership: Pick<Membership, "ownRecord" | "inService" | "recentMembers">;
    readonly quotas: CustomerQuotas;
    readonly outlierReports: OutlierReports;
    /** Keeps poison requests from servers. */
    readonly poisonRequestGuard: PoisonRequestGuard;
    /** Which server versions may get which requests. */
    readonly versions: Pick<ServedVersions, "admits" | "version">;
    readonly trials: TrialHooks;
    readonly loopShare: Pick<LoopShare, "run">;
    readonly phase: () => ShutdownPhase;
    /** Time in which the box can still answer; infinite while it runs. */
    readonly timeToAnswer: () => Milliseconds;
    /** Upper bound of the time for which bytes that are read now were unread. */
    readonly unreadFor: () => Milliseconds;
    readonly configurationAge: () => Milliseconds;
    /** Time since the store confirmed the list of servers. */
    readonly serversAge: () => Milliseconds;
    readonly recentSends: RecentSends;
    readonly limitedServers: Pick<LimitedServers, "onAnswer">;
    readonly serverNotices: Pick<ServerNotices, "onAnswer">;
    /** Called with a server whose restart was uncertain until now. */
    readonly onServerRestarted: (restarted: RestartedServer) => void;
    readonly copyAgeBounds: CopyAgeBounds;
    readonly countTraffic: (purpose: TrafficPurpose, locality: TrafficLocality, bytes: number) => void;
    /** Ends with the box. */
    readonly signal: AbortSignal;
}

/** Serves callers' requests at one box. */
export interface DataPlane {
    /** Serves the requests of callers. */
    readonly handler: RequestHandler;
    /**
     * Called after a restart of a server: closes idle connections to its earlier incarnation, and forgets its recent
     * keys and sends.
     */
    readonly onServerRestarted: (server: BackendServerId) => void;
    /** Closes connections idle for too long, and forgets servers that are gone. Due several times per second. */
    readonly sweep: () => void;
    /** Forwards attempts for other boxes. */
    readonly forwarding: ForwardingEndpoint;
    /** Which servers this box reaches. */
    readonly paths: Pick<PathMonitor, "pathTo" | "onConnected" | "onConnectFailed" | "summary">;
    /** Number of open connections to servers. */
    readonly connectionCount: () => number;
    /** Bytes of request bodies in memory. */
    readonly bodyBytes: () => number;
}

/** Creates the data plane; nothing is learned yet. */
export function createDataPlane(options: DataPlaneOptions): DataPlane {
    const { catalog, clock, outlierReports, limits, settings, state } = options;
    const bodyMemory = createBodyMemory(bodyMemoryLimit(settings.memoryLimit));
    const recentKeys = createRecentKeys();
    const serviceLoad = createServiceLoad();
    const workEstimate = createWorkEstimate();
    const transferSizes = createTransferSizes();
    const callerRetryPacer = createCallerRetryPacer(options.random);
    const roundTrips = createRoundTrips(settings.region, settings.zone);
    const connections = createServerConnections({
        clock,
        localAddress: settings.callers.host,
        onConnected: (server, duration) => {
            const zone = catalog.get(server)?.state.record().zone;
            if (zone !== undefined) {
                roundTrips.onConnected(zone, duration);
            }
        },
    });
    const { attempt, forwarding, paths } = createAttempts({
        ...options,
        bodyMemory,
        connections,
        roundTrips,
        serviceLoad,
    });
    const handler = createRequestHandler({
        ...options,
        choose: createServerChoice({
            region: settings.region,
            zone: settings.zone,
            catalog,
            recentKeys,
            workEstimate,
            transferSizes,
            roundTrip: roundTrips.estimate,
            loadPerSlot: serviceLoad.perSlot,
            severity: ({ id, state: server }, at) => {
                const ownSeverity = server.severity(at);
                return Math.max(ownSeverity, outlierReports.severity(id, ownSeverity, at));
            },
            admitsZone: state.admitsZone,
            admitsVersion: options.versions.admits,
            admissionVersion: options.versions.version,
        }),
        attempt,
        isIsolated: paths.isIsolated,
        retryBudgetOf: limits.retryBudgetOf,
        loadPerSlot: serviceLoad.perSlot,
        retryAfter: retryAfterOf,
        recentKeys,
        workEstimate,
        transferSizes,
        roundTrip: roundTripTo,
        bodyMemory,
    });

    return {
        handler,
        forwarding,
        paths,
        onServerRestarted(server) {
            connections.closeIdle(server);
            paths.forget(server);
            recentKeys.forget(server);
            options.recentSends.forget(server);
        },
        sweep() {
            connections.sweep();
            paths.tick();
            bodyMemory.sweep(clock());
            const { forgotten, restarted } = catalog.sweep(clock());
            forgotten.forEach(server => {
                recentKeys.forget(server);
                paths.forget(server);
                options.recentSends.forget(server);
            });
            restarted.forEach(options.onServerRestarted);
        },
        connectionCount: connections.count,
        bodyBytes: bodyMemory.held,
    };

    function retryAfterOf({ route, service }: ActiveRequest, refusal: RefusalKind): Milliseconds | undefined {
        if (refusal === "serversLimited") {
            return callerRetryPacer.nextRetryAfter(service, rateLimitShare(service), clock());
        }
        if (refusal === "serversBackedOff") {
            return retryAfterBackoff(firstBackoffEndsIn(service), options.random());
        }
        const loadPerSlot = serviceLoad.perSlot(service);
        return retryAfterRefusal(refusal, { loadPerSlot, queuedWork: workEstimate.expectedOfQueued(service, route) });
    }

    /**
     * Returns this box's share of the sum of the rate limits of a service's servers, in requests per second. All
     * advertised boxes have equal shares.
     */
    function rateLimitShare(service: ServiceId): number {
        const limitUpdates = catalog.ofService(service).map(({ state: server }) => server.limit());
        const total = limitUpdates.reduce((sum, update) => sum + (update?.kind === "named" ? update.rate : 0), 0);
        return total / Math.max(1, limits.advertised().length);
    }

    /** Returns the time until the first of the back-offs ends that servers of the service have asked this box for. */
    function firstBackoffEndsIn(service: ServiceId): Milliseconds {
        const now = clock();
        const ends = catalog.ofService(service).map(({ state: server }) => server.backoffUntil()).filter(end =>
            end > now
        );
        return milliseconds(Math.max(0, Math.min(...ends) - now));
    }

    function roundTripTo(server: BackendServer): Milliseconds {
        const { region, zone } = server.state.record();
        return roundTrips.estimate(region, zone);
    }
}
