/**
 * Composes one box: shared state, members, decisions and servers.
 */

import {
    type BackendServer,
    createMembership,
    createRecentKeys,
    createRelayRole,
    createRoundTrips,
    createServerCatalog,
    createServerChoice,
    createServerState,
    createSlowStart,
    createWorkEstimate,
    failureTimeout,
    type MemberRecord,
    type Membership,
} from "@chalkdale/decisions";
import { boxId, type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createBudgetedLog, every, type Log, sleep } from "@chalkdale/runtime";
import { setMaxListeners } from "node:events";
import { createServer, type Server } from "node:http";
import { trackCallerConnections } from "./callers/caller-connections.js";
import type { CallerProtocol } from "./callers/caller-protocol.js";
import { createDirectoryListener, createMetricsListener, createReadinessListener } from "./callers/listeners.js";
import { createLoadMeter } from "./load-meter.js";
import { createBoxMetrics } from "./metrics.js";
import { gossipInterval, readPeerSnapshot, startPeerLink } from "./peers/peer-link.js";
import { createPlannedStop } from "./planned-stop.js";
import { connectTimeoutFor, createAttempt } from "./requests/attempt.js";
import { createRequestHandler } from "./requests/request-handler.js";
import { createHealthChecker } from "./servers/health-checker.js";
import { createLivenessCheck } from "./servers/liveness-check.js";
import { createServerConnections } from "./servers/server-connections.js";
import type { BoxSettings, ListenAddress } from "./settings.js";
import { createSharedLimits } from "./shared-limits.js";
import { startReplicator } from "./state/replicator.js";
import { createSharedState, recordDelay } from "./state/shared-state.js";
import type { StateStore } from "./state/state-store.js";

export interface BoxOptions {
    readonly settings: BoxSettings;
    readonly protocol: CallerProtocol;
    readonly store: StateStore;
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    /** A later start of the same box has a greater incarnation. */
    readonly incarnation: MemberRecord["incarnation"];
}

/** A running box. */
export interface Box {
    /** Stops as planned; resolves when the process may end. Later calls join the first. */
    readonly stop: () => Promise<void>;
    readonly isReady: () => boolean;
}

/** Where the figures are told. */
const metricsPath = "/metrics";
const second = 1000;
/** Lines a second for each event; what matters most when something fails gets more. */
const linesPerSecond = 10;
const linesOfEvent = { "request.served": 3, "request.refused": 30, "attempt.failed": 20 };
const housekeepingInterval = 250;
const announceRetry = 1000;
/** Boxes that the failure timeout is made for. */
const expectedBoxes = 16;
const rememberFailedBoxes = milliseconds(120_000);
const largestHeader = 64 * 1024;
const keepAliveMargin = milliseconds(1000);

/** Starts a box. */
export function startBox(options: BoxOptions): Box {
    const { clock, protocol, random, settings, store } = options;
    const log = createBudgetedLog(options.log, { linesPerSecond: linesPerSecond, byEvent: linesOfEvent });
    const metrics = createBoxMetrics();
    const lifetime = new AbortController();
    const { signal } = lifetime;
    setMaxListeners(0, signal);
    const membership = createMembership({
        self: ownRecord(options),
        failAfter: failureTimeout(gossipInterval, expectedBoxes),
        forgetAfter: rememberFailedBoxes,
    });
    const limits = createSharedLimits({
        clock,
        log,
        settings,
        membership,
        connectionsOf: service => state.service(service)?.maxConnections,
    });
    const loadMeter = createLoadMeter(settings.capacity);
    const recentKeys = createRecentKeys();
    const work = createWorkEstimate();
    const roundTrips = createRoundTrips(settings.region, settings.zone);
    const catalog = createServerCatalog((record, at) =>
        createServerState(record, at, {
            coldMargin: recordDelay,
            cold: createSlowStart({
                self: settings.box,
                server: record.id,
                boxes: () => limits.slowStartSenders(record.region),
                rate: () => state.service(record.service)?.coldRate ?? 0,
            }),
        })
    );
    const state = createSharedState({
        clock,
        log,
        catalog,
        regionOfZone: settings.regionOfZone,
        onConfiguration: configuration => applyCallerLimits(configuration.limits.idleTimeout),
    });
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
    let stopped: Promise<void> | undefined;

    const choose = createServerChoice({
        region: settings.region,
        zone: settings.zone,
        catalog,
        recentKeys,
        work,
        roundTrip: roundTrips.estimate,
        admitsZone: state.admitsZone,
    });
    const attempt = createAttempt({
        clock,
        protocol,
        connections,
        mostConnections: limits.mostConnections,
        livenessCheck: createLivenessCheck({
            clock,
            log,
            localAddress: settings.callers.host,
            connectTimeout: server => connectTimeoutFor(roundTripTo(server)),
            onSilent: server => {
                server.state.onFailure(clock(), "unreachable");
                connections.closeIdle(server.id);
            },
        }),
    });
    const plannedStop = createPlannedStop({
        clock,
        log,
        grace: settings.bounds.stopGrace,
        inFlight: () => callerConnections.inFlight(),
        onLeaving: () => {
            updateOwnState();
            peerLink.gossipToAll();
        },
        onClosing: () => callerConnections.endIdle(),
    });
    const onRequest = createRequestHandler({
        clock,
        random,
        log,
        metrics,
        protocol,
        state,
        choose,
        attempt,
        budgetOf: limits.budgetOf,
        recentKeys,
        work,
        roundTrip: roundTripTo,
        isClosing: () => plannedStop.phase() === "closing",
        isLeaving: () => plannedStop.phase() !== "running",
    });
    const isReady = () => state.isComplete() && plannedStop.phase() === "running";

    const callers = createServer({ maxHeaderSize: largestHeader, requestTimeout: 0, noDelay: true });
    const callerConnections = trackCallerConnections(callers);
    callers.on("request", onRequest);
    listen(callers, settings.callers);
    const readiness = listen(createServer(createReadinessListener(protocol, isReady)), settings.readiness);
    const others = [readiness];
    const directory = listen(
        createServer(createDirectoryListener({
            protocol,
            lifetime: settings.bounds.lookupLifetime,
            onLookup: metrics.onLookup,
            inService: () => {
                updateOwnState();
                return membership.inService(clock());
            },
        })),
        settings.directory,
    );

    const replicator = startReplicator({
        clock,
        random,
        log,
        region: settings.region,
        state,
        store,
        duty: createRelayRole({
            self: settings.box,
            region: settings.region,
            alive: () => membership.alive(clock()),
            changeBound: settings.bounds.changeInForce,
        }),
        readSnapshot: readPeerSnapshot,
        publish: update => peerLink.publish(update),
        signal,
    });
    const peerLink = startPeerLink({
        clock,
        random,
        log,
        listen: settings.peers,
        membership,
        digest: replicator.digest,
        onDigest: replicator.onDigest,
        onUpdate: replicator.onUpdate,
        isFollowing: replicator.isFollowing,
        snapshot: kind => state.replica(kind).snapshot(),
        signal,
    });
    const runDueHealthChecks = createHealthChecker({
        clock,
        log,
        protocol,
        catalog,
        localAddress: settings.callers.host,
        healthPathOf: server => state.service(server.state.record().service)?.healthPath,
        signal,
    });
    void every(housekeepingInterval, signal).observe(() => {
        updateOwnState();
        connections.sweep();
        catalog.sweep(clock()).forEach(server => recentKeys.forget(server));
        runDueHealthChecks();
    });
    void every(second, signal).observe(() => {
        loadMeter.measure();
        log.report();
    });
    if (settings.metrics !== undefined) {
        const metricsText = () => metrics.text(readGauges());
        others.push(listen(createServer(createMetricsListener(metricsPath, metricsText)), settings.metrics));
    }
    settings.seeds.forEach(peerLink.sendGossip);
    void joinMembers(membership);

    return {
        isReady,
        stop: () => stopped ??= stopAsPlanned(),
    };

    async function stopAsPlanned(): Promise<void> {
        await plannedStop.begin();
        lifetime.abort();
        [callers, directory, ...others].forEach(server => server.close());
    }

    /** Records this box in the store, then greets those that are recorded: of two that start at once, one sees the other. */
    async function joinMembers(members: Membership): Promise<void> {
        await untilDone(() => store.announce(members.alive(clock())[0], signal));
        await untilDone(async () => {
            const recorded = await store.listBoxes(signal);
            recorded.filter(record => record.box !== settings.box)
                .forEach(record => peerLink.sendGossip(record.peerAddress));
        });
    }

    /** Makes a call of the store again until it succeeds or the box ends. */
    async function untilDone(call: () => Promise<void>): Promise<void> {
        while (!signal.aborted) {
            try {
                await call();
                return;
            }
            catch (error) {
                log.debug("members.joinFailed", { reason: String(error) });
                await sleep(announceRetry, signal);
            }
        }
    }

    function readGauges(): Record<string, number | undefined> {
        return {
            configuration_version: state.configuration()?.version,
            servers_revision: state.replica("servers").revision(),
            store_lost_milliseconds: replicator.storeLostFor(),
            boxes_alive: membership.alive(clock()).length,
            boxes_carrying: limits.advertisedCount(),
            own_load_cores: loadMeter.cores(),
            callers_connections: callerConnections.count(),
            callers_in_flight: callerConnections.inFlight(),
            servers_connections: connections.count(),
            memory_bytes: process.memoryUsage.rss(),
        };
    }

    function updateOwnState(): void {
        membership.setOwnState({
            ready: isReady(),
            leaving: plannedStop.phase() !== "running",
            load: loadMeter.cores(),
        });
    }

    function roundTripTo(server: BackendServer): Milliseconds {
        const { region, zone } = server.state.record();
        return roundTrips.estimate(region, zone);
    }

    function applyCallerLimits(idleTimeout: Milliseconds): void {
        callers.keepAliveTimeout = idleTimeout + keepAliveMargin;
    }

    function listen(server: Server, address: ListenAddress): Server {
        server.on("error", error => {
            log.error("listen.failed", { port: address.port, reason: error.message });
            process.exitCode = 1;
        });
        server.listen(address.port, address.host);
        return server;
    }
}

function ownRecord(options: BoxOptions): MemberRecord {
    const { incarnation, settings } = options;
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
