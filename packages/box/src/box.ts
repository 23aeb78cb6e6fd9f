/**
 * Composes one box: shared state, members, limits, the way of requests, and the
 * listeners.
 *
 * Owns all of them: `stop` ends new work first, then the loops, then the
 * listeners. Nothing outlives the process.
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
import { createGracefulShutdown } from "./graceful-shutdown.js";
import { joinMembers } from "./join.js";
import { createLoadMeter } from "./load-meter.js";
import { createMetricsText } from "./metrics-text.js";
import { createBoxMetrics } from "./metrics.js";
import { createOwnRecord } from "./own-record.js";
import { startPeerLink } from "./peers/peer-link.js";
import { createPeerReads } from "./peers/peer-reads.js";
import { maintenanceInterval, startPeriodicTasks } from "./periodic-tasks.js";
import { createPoisonRequestGuard } from "./poison-requests/poison-request-guard.js";
import { createCustomerQuotas } from "./quotas/customer-quotas.js";
import { createDataPlane } from "./requests/data-plane.js";
import { createRollouts, type Rollouts } from "./rollouts/rollouts.js";
import { noTrials } from "./rollouts/trials.js";
import { createHealthChecker } from "./servers/health-checker.js";
import { createServerTracking } from "./servers/server-tracking.js";
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
    /** The clock of the ages of copies, which counts time in which the machine was suspended; `clock` where it is left out. */
    readonly suspendAwareClock?: Clock;
    readonly random: () => number;
    readonly log: Log;
    /** Counts of the box's messages; the store's calls are counted by the store itself. */
    readonly traffic: TrafficMeter;
    /** A later start of the same box has a greater incarnation. */
    readonly incarnation: MemberRecord["incarnation"];
}

/** A running box. */
export interface Box {
    /** Stops as planned; resolves when the process may end. Later calls join the first. */
    readonly stop: () => Promise<void>;
    readonly isReady: () => boolean;
}

/** Starts a box. */
export function startBox(options: BoxOptions): Box {
    const { clock, protocol, random, settings, store, traffic } = options;
    const ageClock = options.suspendAwareClock ?? clock;
    const { bounds, region } = settings;
    const log = createBoxLog(options.log);
    const metrics = createBoxMetrics();
    const lifetime = new AbortController();
    const { signal } = lifetime;
    setMaxListeners(0, signal);

    const startedAt = clock();
    const uptime = () => milliseconds(clock() - startedAt);
    const loadMeter = createLoadMeter(settings.capacity);
    const membership = createMembership(createOwnRecord(settings, options.incarnation));
    const limits = createSharedLimits({
        clock,
        self: settings.box,
        membership,
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
        sendLimits: (box, reports) => peerLink.sendLimits(box, reports),
    });
    const { catalog, evidence, limitedServers, recentSends } = servers;
    const deadlyGuard = createPoisonRequestGuard({
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
        onRestarted: onServerRestarted,
        onRollouts: orders => rollouts?.onOrders(orders),
        onConfiguration: configuration => callerServer.setIdleTimeout(configuration.limits.idleTimeout),
    });

    const countTraffic = (purpose: TrafficPurpose, place: TrafficLocality, bytes: number) =>
        traffic.add(purpose, reachBetween(settings, place), bytes);
    const plannedStop = createGracefulShutdown({
        clock,
        log,
        grace: bounds.shutdownGracePeriod,
        inFlight: () => callerServer.connections.inFlight(),
        onLeaving: () => {
            updateOwnRecord();
            peerLink.gossipToAll();
        },
        onClosing: () => callerServer.connections.closeIdle(),
    });
    const countingBoxes = createCoordinatorSet();
    const quotas = createCustomerQuotas({
        clock,
        self: boxId(settings.box),
        membership,
        coordinators: countingBoxes,
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
        coordinators: countingBoxes,
        catalog,
        store,
        copyAge: () => replicator.provenAge("rollouts"),
        isStoreAnswering: () => !replicator.isFollowingStore() || replicator.storeUnavailableFor() === 0,
        isRunning: () => plannedStop.phase() === "running",
        uptime,
        send: (box, message) => peerLink.sendRollout(box, message),
        signal,
    });
    const isReady = () => state.isComplete() && plannedStop.phase() === "running";
    const requests = createDataPlane({
        clock,
        random,
        log,
        metrics,
        protocol,
        settings,
        state,
        ...servers,
        limits,
        quotas,
        poisonRequestGuard: deadlyGuard,
        versions: rollouts?.versions ?? { admits: () => true, version: () => 0 },
        trials: rollouts?.requests ?? noTrials,
        phase: plannedStop.phase,
        configurationAge: () => replicator.configurationAge(),
        serversAge: () => replicator.confirmedAge("servers"),
        onServerRestarted,
        copyAgeBounds: { maxPropagationDelay: bounds.maxPropagationDelay, maxKeyCopyAge: bounds.maxKeyCopyAge },
        countTraffic,
    });

    const callerServer = startCallerServer({
        log,
        protocol,
        settings,
        pipelines: {
            clock,
            isIdempotent: requests.handler.isIdempotent,
            isLeaving: () => plannedStop.phase() !== "running",
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
            quotas,
            poisonRequestGuard: deadlyGuard,
            ...servers,
            rollouts,
            traffic,
            requests,
            replicator: () => replicator,
            callers: () => callerServer.connections,
        }),
    });

    const turnedAway = createUnservedBoxes(boxId(settings.box), bounds.maxPropagationDelay);
    const relayRole = createRelayRole({
        self: settings.box,
        region,
        alive: () => membership.alive(clock()),
        maxPropagationDelay: bounds.maxPropagationDelay,
        turnedAway,
        clock: ageClock,
        uptime,
    });
    const peerReads = createPeerReads({ countTraffic, signal });
    const replicator = startReplicator({
        clock: ageClock,
        random,
        log,
        region,
        state,
        store,
        relayRole,
        turnedAway,
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
        region,
        membership,
        digest: replicator.digest,
        onDigest: replicator.onDigest,
        onUpdate: replicator.onUpdate,
        isFollowingStore: replicator.isFollowingStore,
        roundsBetweenDigests: roundsBetweenDigests(bounds.maxPropagationDelay),
        isAdvertised: limits.isAdvertised,
        serverReports: servers.serverReports,
        onPoisonRequestReports: deadlyGuard.onReports,
        poisonRequestReports: deadlyGuard.gossipPayload,
        onLimits: limitedServers.onReports,
        limits: limitedServers.gossipPayload,
        onQuota: quotas.onMessage,
        onRollout: (from, message) => rollouts?.onMessage(from, message),
        rolloutUpdate: () => rollouts?.gossipPayload(),
        countTraffic,
        readMembers: peerReads.readMembers,
        snapshot: kind => state.replica(kind).snapshot(),
        changesSince: (kind, since) => state.replica(kind).changesSince(since),
        signal,
    });

    const noticeStall = createStallDetector(ageClock, log, maintenanceInterval);
    const runDueHealthChecks = createHealthChecker({
        clock,
        log,
        protocol,
        ...servers,
        localAddress: settings.callers.host,
        healthPathOf: server => state.service(server.state.record().service)?.healthPath,
        signal,
    });
    startPeriodicTasks({
        maintain() {
            noticeStall();
            updateOwnRecord();
            state.expireHeldEntries();
            requests.sweep();
            runDueHealthChecks();
        },
        gossip() {
            deadlyGuard.onGossipRound();
            limitedServers.onGossipRound();
            quotas.onGossipRound();
            rollouts?.onGossipRound();
        },
        decideRollouts: rollouts?.step,
        measure() {
            loadMeter.measure();
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
        sendGossip: peerLink.sendGossip,
        signal,
    });
    let stopped: Promise<void> | undefined;

    return {
        isReady,
        stop: () => stopped ??= stopAsPlanned(),
    };

    async function stopAsPlanned(): Promise<void> {
        await plannedStop.begin();
        reportTraffic();
        lifetime.abort();
        callerServer.close();
    }

    /** Whatever was learned of the earlier life is forgotten, but for the requests that are still there. */
    function onServerRestarted({ before, server }: RestartedServer): void {
        log.info("server.restarted", {
            server: server.id,
            bornAt: server.state.record().bornAt,
            previousBornAt: before.state.record().bornAt,
            revision: describePosition(server.state.record().revision),
            inFlightBefore: before.state.inFlight(),
            sends: recentSends.describe(server.id),
        });
        metrics.onServerRestarted();
        evidence.forget(server.id, clock());
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
            leaving: plannedStop.phase() !== "running",
            load: loadMeter.cores(),
        });
    }
}

function sumOfLoads(members: readonly MemberRecord[]): string {
    return members.reduce((sum, member) => sum + member.load, 0).toFixed(2);
}
