/**
 * Composes one box: shared state, membership, limits, request handling, and
 * listeners.
 *
 * Owns all of them: `stop` ends new work first, then the periodic tasks and loops,
 * then the listeners. No state outlives the process.
 */

import {
    createCoordinatorSet,
    createMembership,
    createRelayRole,
    createSharedLimits,
    createUnservedBoxes,
    describePosition,
    type MemberRecord,
    replicatedKinds,
    type RestartedServer,
    roundsBetweenDigests,
} from "@chalkdale/decisions";
import { boxId, type Clock, milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import { setMaxListeners } from "node:events";
import { createBoxLog } from "./box-log.js";
import type { CallerProtocol } from "./callers/caller-protocol.js";
import { startCallerServer } from "./callers/caller-server.js";
import { connectionLimitOf } from "./connection-limiter.js";
import { startEventLoopMonitor } from "./event-loop-monitor.js";
import { createGracefulShutdown } from "./graceful-shutdown.js";
import { joinMembers } from "./join.js";
import { createLoadMeter } from "./load-meter.js";
import type { LoopShare } from "./loop-share.js";
import { createMetricsText } from "./metrics-text.js";
import { createBoxMetrics } from "./metrics.js";
import { createOwnRecord } from "./own-record.js";
import { startPeerLink } from "./peers/peer-link.js";
import { createPeerReads } from "./peers/peer-reads.js";
import { maintenanceInterval, startPeriodicTasks } from "./periodic-tasks.js";
import { createPoisonRequestGuard } from "./poison-requests/poison-request-guard.js";
import { createCustomerQuotas } from "./quotas/customer-quotas.js";
import { createDataPlane, type DataPlane } from "./requests/data-plane.js";
import { createRetryReport } from "./retry-report.js";
import { createRollouts, type Rollouts } from "./rollouts/rollouts.js";
import { noTrials } from "./rollouts/trials.js";
import { createColdServerReport } from "./servers/cold-server-report.js";
import { createHealthChecker } from "./servers/health-checker.js";
import { createServerTracking } from "./servers/server-tracking.js";
import { createUnconfirmedChecks } from "./servers/unconfirmed-checks.js";
import type { BoxSettings } from "./settings.js";
import { createStallDetector } from "./stall-detector.js";
import { startReplicator } from "./state/replicator.js";
import { createSharedState, type SharedState } from "./state/shared-state.js";
import type { StateStore } from "./state/state-store.js";
import { reachBetween, type TrafficLocality, type TrafficMeter, type TrafficPurpose } from "./traffic-meter.js";

export interface BoxOptions {
    readonly settings: BoxSettings;
    readonly protocol: CallerProtocol;
    readonly store: StateStore;
    readonly clock: Clock;
    /** Clock for the ages of replicas, which also counts time while the machine is suspended; defaults to `clock`. */
    readonly suspendAwareClock?: Clock;
    readonly random: () => number;
    readonly log: Log;
    /** The time of the event loop that connections may take; the store's connections have part in it. */
    readonly loopShare: LoopShare;
    /** Counts the box's messages; the store counts its own calls. */
    readonly traffic: TrafficMeter;
    /** Greater than that of any earlier start of the same box. */
    readonly incarnation: MemberRecord["incarnation"];
}

/** A running box. */
export interface Box {
    /** Shuts the box down gracefully; resolves when the process may exit. Later calls return the same promise. */
    readonly stop: () => Promise<void>;
    /** True while the box admits requests: its replicas are complete and it is not shutting down. */
    readonly isReady: () => boolean;
}

/** Starts a box; it joins the other boxes and reads the shared state in the background. */
export function startBox(options: BoxOptions): Box {
    const { clock, loopShare, protocol, random, settings, store, traffic } = options;
    const suspendAwareClock = options.suspendAwareClock ?? clock;
    const { bounds, region } = settings;
    const log = createBoxLog(options.log);
    const metrics = createBoxMetrics();
    const lifetime = new AbortController();
    const { signal } = lifetime;
    setMaxListeners(0, signal);

    const startedAt = clock();
    const uptime = () => milliseconds(clock() - startedAt);
    const loadMeter = createLoadMeter(settings.capacity);
    const eventLoop = startEventLoopMonitor(clock, log, signal);
    const membership = createMembership(createOwnRecord(settings, options.incarnation));
    const limits = createSharedLimits({
        clock,
        self: settings.box,
        membership,
        random,
        retries: { ratio: bounds.retryRatio, window: bounds.retryWindow, allowance: bounds.retryAllowance },
        serverConnectionLimit: service => state.service(service)?.maxConnections,
        onAdvertisedChanged: (advertised, alive) =>
            log.info("carriers.changed", { carriers: advertised, alive: alive.length, load: sumOfLoads(alive) }),
    });
    const servers = createServerTracking({
        clock,
        random,
        log,
        settings,
        protocol,
        limits,
        coldRate: service => state.service(service)?.coldRate ?? 0,
        isReachedDirectly: server => requests.paths.pathTo(server) === "direct",
        sendLimits: (box, reports) => peerLink.sendLimits(box, reports),
        recentMembers: () => membership.recentMembers(clock()),
        sendColdReports: (box, reports) => peerLink.sendColdReports(box, reports),
    });
    const { catalog, outlierReports, limitedServers, recentSends } = servers;
    const poisonRequestGuard = createPoisonRequestGuard({
        clock,
        log,
        self: boxId(settings.box),
        advertised: limits.advertised,
        recentMembers: () => membership.recentMembers(clock()),
        send: (box, reports) => peerLink.sendPoisonRequestReports(box, reports),
    });
    const state: SharedState = createSharedState({
        clock,
        log,
        catalog,
        regionOfZone: settings.regionOfZone,
        confirmedAge: kind => replicator.confirmedAge(kind),
        describeRecentSends: recentSends.describe,
        onServerRestarted,
        onRollouts: orders => rollouts?.onOrders(orders),
        onConfiguration: configuration => callerServer.setIdleTimeout(configuration.limits.idleTimeout),
    });

    const countTraffic = (purpose: TrafficPurpose, locality: TrafficLocality, bytes: number) =>
        traffic.add(purpose, reachBetween(settings, locality), bytes);
    const gracefulShutdown = createGracefulShutdown({
        clock,
        log,
        grace: bounds.shutdownGracePeriod,
        lookupLifetime: bounds.lookupLifetime,
        inFlight: () => callerServer.connections.inFlight() + requests.forwarding.inProgress(),
        onLeaving: () => {
            updateOwnRecord();
            peerLink.gossipToAll();
        },
        onClosing: () => callerServer.connections.closeIdle(),
    });
    const coordinators = createCoordinatorSet();
    const quotas = createCustomerQuotas({
        clock,
        self: boxId(settings.box),
        membership,
        coordinators,
        advertised: limits.advertised,
        tolerance: bounds.quotaTolerance,
        findCustomer: id => state.keys()?.findById(id),
        send: (box, message) => peerLink.sendQuota(box, message),
        uptime,
    });
    const rollouts: Rollouts | undefined = bounds.rollouts && createRollouts({
        clock,
        random,
        log,
        self: boxId(settings.box),
        incarnation: options.incarnation,
        bounds: bounds.rollouts,
        membership,
        coordinators,
        catalog,
        store,
        copyAge: () => replicator.provenAge("rollouts"),
        isStoreAnswering: () => !replicator.isFollowingStore() || replicator.storeUnavailableFor() === 0,
        isRunning: () => gracefulShutdown.phase() === "running",
        uptime,
        send: (box, message) => peerLink.sendRollout(box, message),
        signal,
    });
    const isReady = () => state.isComplete() && gracefulShutdown.phase() === "running";
    const coldServers = createColdServerReport({
        clock,
        log,
        catalog,
        serversAge: () => replicator.confirmedAge("servers"),
    });
    const requests: DataPlane = createDataPlane({
        clock,
        loopShare,
        random,
        log,
        metrics,
        protocol,
        settings,
        state,
        ...servers,
        limits,
        membership,
        quotas,
        poisonRequestGuard,
        versions: rollouts?.versions ?? { admits: () => true, version: () => 0 },
        trials: rollouts?.trialHooks ?? noTrials,
        phase: gracefulShutdown.phase,
        timeToAnswer: gracefulShutdown.timeToAnswer,
        unreadFor: eventLoop.unreadFor,
        configurationAge: () => replicator.configurationAge(),
        serversAge: () => replicator.confirmedAge("servers"),
        onServerRestarted,
        copyAgeBounds: { maxPropagationDelay: bounds.maxPropagationDelay, maxKeyCopyAge: bounds.maxKeyCopyAge },
        countTraffic,
        signal,
    });

    const callerServer = startCallerServer({
        log,
        protocol,
        settings,
        pipelines: {
            clock,
            loopShare,
            unreadFor: eventLoop.unreadFor,
            isIdempotent: requests.handler.isIdempotent,
            isLeaving: () => gracefulShutdown.phase() !== "running",
            serve: requests.handler.serve,
        },
        isReady,
        inService: () => {
            updateOwnRecord();
            return membership.inService(clock());
        },
        onLookup: metrics.onLookup,
        metricsText: createMetricsText({
            clock,
            metrics,
            state,
            membership,
            limits,
            loadMeter,
            eventLoop,
            quotas,
            poisonRequestGuard,
            ...servers,
            coldServers,
            rollouts,
            traffic,
            requests,
            replicator: () => replicator,
            callers: () => callerServer.connections,
        }),
    });

    const unservedBoxes = createUnservedBoxes(boxId(settings.box), bounds.maxPropagationDelay);
    const relayRole = createRelayRole({
        self: settings.box,
        region,
        alive: () => membership.alive(clock()),
        maxPropagationDelay: bounds.maxPropagationDelay,
        unservedBoxes,
        clock: suspendAwareClock,
        uptime,
    });
    const peerReads = createPeerReads({ countTraffic, signal });
    const replicator = startReplicator({
        clock: suspendAwareClock,
        random,
        log,
        region,
        state,
        store,
        relayRole,
        unservedBoxes,
        self: boxId(settings.box),
        kinds: replicatedKinds(bounds.rollouts !== undefined),
        readState: peerReads.readState,
        publish: update => peerLink.publish(update),
        sendDigestToRegion: () => peerLink.sendDigestToRegion(),
        signal,
    });
    const peerLink = startPeerLink({
        clock,
        random,
        log,
        listen: settings.peers,
        maxConnections: connectionLimitOf("boxes", settings.descriptorLimit),
        loopShare,
        region,
        membership,
        digest: replicator.digest,
        onDigest: replicator.onDigest,
        onUpdate: replicator.onUpdate,
        isFollowingStore: replicator.isFollowingStore,
        roundsBetweenDigests: roundsBetweenDigests(bounds.maxPropagationDelay),
        isAdvertised: limits.isAdvertised,
        outlierGossip: servers.outlierGossip,
        onPoisonRequestReports: poisonRequestGuard.onReports,
        poisonRequestReports: poisonRequestGuard.gossipPayload,
        onLimits: limitedServers.onReports,
        onColdReports: servers.coldServerSharing.onReports,
        limits: limitedServers.gossipPayload,
        onQuota: quotas.onMessage,
        onRollout: (from, message) => rollouts?.onMessage(from, message),
        rolloutUpdate: () => rollouts?.gossipPayload(),
        forwarding: requests.forwarding,
        countTraffic,
        readMembers: peerReads.readMembers,
        snapshot: kind => state.replica(kind).snapshot(),
        changesSince: (kind, since) => state.replica(kind).changesSince(since),
        signal,
    });

    const reportRetries = createRetryReport(log);
    const detectStall = createStallDetector(suspendAwareClock, log, maintenanceInterval);
    const runDueHealthChecks = createHealthChecker({
        clock,
        loopShare,
        log,
        protocol,
        ...servers,
        unconfirmedChecks: createUnconfirmedChecks({
            clock,
            self: settings.box,
            limits,
            isStoreUnavailable: () => replicator.storeUnavailableFor() > 0,
            serversAge: () => replicator.confirmedAge("servers"),
            admitsZone: state.admitsZone,
        }),
        localAddress: settings.callers.host,
        paths: requests.paths,
        healthPathOf: server => state.service(server.state.record().service)?.healthPath,
        signal,
    });
    startPeriodicTasks({
        maintain() {
            detectStall();
            updateOwnRecord();
            state.expireHeldEntries();
            requests.sweep();
            runDueHealthChecks();
            coldServers.report();
        },
        gossip() {
            poisonRequestGuard.onGossipRound();
            limitedServers.onGossipRound();
            quotas.onGossipRound();
            rollouts?.onGossipRound();
        },
        decideRollouts: rollouts?.step,
        measure() {
            loadMeter.measure();
            eventLoop.report();
            reportRetries(limits.retryBudgets());
            log.report();
        },
        reportTraffic,
        signal,
    });
    settings.seeds.forEach(peerAddress => peerLink.sendGossip({ peerAddress }));
    void joinMembers({
        clock,
        log,
        self: settings.box,
        membership,
        random,
        relayRole,
        store,
        storeEpoch: state.storeEpoch,
        onRecorded: limits.onBoxesRecorded,
        sendGossip: peerLink.sendGossip,
        signal,
    });
    let stopping: Promise<void> | undefined;

    return {
        isReady,
        stop: () => stopping ??= shutDown(),
    };

    async function shutDown(): Promise<void> {
        await gracefulShutdown.begin();
        reportTraffic();
        lifetime.abort();
        callerServer.close();
    }

    /** Discards what was learned about the earlier incarnation, except for its requests in flight. */
    function onServerRestarted({ previous, server }: RestartedServer): void {
        log.info("server.restarted", {
            server: server.id,
            bornAt: server.state.record().bornAt,
            previousBornAt: previous.state.record().bornAt,
            revision: describePosition(server.state.record().revision),
            inFlightBefore: previous.state.inFlight(),
            sends: recentSends.describe(server.id),
        });
        metrics.onServerRestarted();
        outlierReports.forget(server.id, clock());
        requests.onServerRestarted(server.id);
    }

    function reportTraffic(): void {
        const counts = traffic.logFields();
        if (Object.keys(counts).length > 0) {
            log.info("traffic.counted", counts);
        }
    }

    function updateOwnRecord(): void {
        membership.setOwnState({
            ready: isReady(),
            leaving: gracefulShutdown.phase() !== "running",
            load: loadMeter.cores(),
        });
    }
}

function sumOfLoads(members: readonly MemberRecord[]): string {
    return members.reduce((sum, member) => sum + member.load, 0).toFixed(2);
}
