/**
 * Wires up the attempts of a box: at servers directly, through other boxes, and for other boxes.
 *
 * Owns the paths to servers and the connections to other boxes; relies on its owner for those to servers.
 */

import {
    type BackendServer,
    type BodyMemory,
    connectTimeout,
    createForwardingBoxes,
    createIdleTimeoutEstimate,
    type MemberRecord,
    type Membership,
    type RoundTrips,
    type ServerCatalog,
    type ServiceLoad,
    type SharedLimits,
    type ShutdownPhase,
} from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { LoopShare } from "../loop-share.js";
import type { BoxMetrics } from "../metrics.js";
import { createDirectAttempts } from "../paths/direct-attempts.js";
import { createForwardingClient } from "../paths/forwarding-client.js";
import { createForwardingEndpoint, type ForwardingEndpoint } from "../paths/forwarding-endpoint.js";
import { createPathMonitor, type PathMonitor } from "../paths/path-monitor.js";
import type { LimitedServers } from "../servers/limited-servers.js";
import type { ServerConnections } from "../servers/server-connections.js";
import type { ServerNotices } from "../servers/server-notices.js";
import type { BoxSettings } from "../settings.js";
import type { SharedState } from "../state/shared-state.js";
import type { TrafficLocality, TrafficPurpose } from "../traffic-meter.js";
import type { AttemptOutcome, AttemptRequest } from "./attempt-request.js";
import { createAttempt } from "./attempt.js";
import { createDirectAttempt } from "./direct-attempt.js";
import { createForwardedAttempt } from "./forwarded-attempt.js";
import { createServerFeedback } from "./server-feedback.js";
import { createFindTermination } from "./server-termination.js";

export interface AttemptsOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly metrics: BoxMetrics;
    readonly protocol: CallerProtocol;
    readonly settings: BoxSettings;
    readonly state: Pick<SharedState, "admitsZone">;
    readonly catalog: ServerCatalog;
    readonly limits: Pick<SharedLimits, "maxConnectionsPerServer">;
    readonly membership: Pick<Membership, "ownRecord" | "inService" | "recentMembers">;
    readonly connections: ServerConnections;
    readonly roundTrips: RoundTrips;
    readonly serviceLoad: ServiceLoad;
    readonly bodyMemory: BodyMemory;
    readonly loopShare: Pick<LoopShare, "run">;
    /** Upper bound of the time for which bytes that are read now were unread. */
    readonly unreadFor: () => Milliseconds;
    readonly limitedServers: Pick<LimitedServers, "onAnswer">;
    readonly serverNotices: Pick<ServerNotices, "onAnswer">;
    readonly phase: () => ShutdownPhase;
    readonly countTraffic: (purpose: TrafficPurpose, locality: TrafficLocality, bytes: number) => void;
    /** Ends with the box. */
    readonly signal: AbortSignal;
}

/** The attempts of one box. */
export interface Attempts {
    /** Makes one attempt for a caller's request. Never rejects. */
    readonly attempt: (request: AttemptRequest) => Promise<AttemptOutcome>;
    /** Makes attempts for other boxes. */
    readonly forwarding: ForwardingEndpoint;
    /** Which servers this box reaches. */
    readonly paths: PathMonitor;
}

/** Creates the attempts of a box that takes all servers to be reachable. */
export function createAttempts(options: AttemptsOptions): Attempts {
    const { catalog, clock, connections, limits, log, membership, settings, state } = options;
    const forwardingClient = createForwardingClient(settings.callers.host, options.signal);
    const forwardingBoxes = createForwardingBoxes({
        self: membership.ownRecord(),
        inService: membership.inService,
        random: options.random,
    });
    const directAttempts = createDirectAttempts();
    const paths = createPathMonitor({
        clock,
        log,
        localAddress: settings.callers.host,
        catalog,
        client: forwardingClient,
        forwardingBoxes,
        attempts: directAttempts,
        connectTimeout: server => connectTimeout(roundTripTo(server)),
        closeIdle: server => connections.closeIdle(server.id),
    });
    const feedback = createServerFeedback({ ...options, hasNewIncarnation: catalog.hasNewIncarnation });
    const findTermination = createFindTermination(clock, paths);
    const attemptDirectly = createDirectAttempt({
        clock,
        protocol: options.protocol,
        connections,
        loopShare: options.loopShare,
        feedback,
        maxConnectionsPerServer: limits.maxConnectionsPerServer,
        paths,
        pending: directAttempts,
        findTermination,
        hasNewIncarnation: catalog.hasNewIncarnation,
        hasSuccessor: catalog.hasSuccessor,
        admitsZone: state.admitsZone,
        idleTimeoutEstimate: createIdleTimeoutEstimate(),
        countBytes: (server, bytes) => options.countTraffic("request", server.state.record(), bytes),
    });
    const attemptThroughOthers = createForwardedAttempt({
        clock,
        client: forwardingClient,
        forwardingBoxes,
        feedback,
        findTermination,
        roundTripToBox,
        hasSuccessor: catalog.hasSuccessor,
        countBytes: (box, bytes) => options.countTraffic("forwarded", box, bytes),
        onForwarded: ({ requestId, server }, { box }) => {
            options.metrics.onAttempt("forwarded");
            log.info("attempt.through", { request: requestId, server: server.id, box });
        },
        onAnswered: paths.onForwarded,
    });
    const forwarding = createForwardingEndpoint({
        clock,
        log,
        phase: options.phase,
        catalog,
        boxes: () => membership.recentMembers(clock()),
        bodyMemory: options.bodyMemory,
        unreadFor: options.unreadFor,
        attemptDirectly,
        feedback,
        roundTrip: roundTripTo,
        paths,
        countBytes: (box, bytes) => options.countTraffic("forwarded", box, bytes),
    });
    return {
        attempt: createAttempt({ clock, paths, attemptDirectly, attemptThroughOthers, feedback }),
        forwarding,
        paths,
    };

    function roundTripToBox({ region, zone }: MemberRecord): Milliseconds {
        return options.roundTrips.estimate(region, zone);
    }

    function roundTripTo(server: BackendServer): Milliseconds {
        const { region, zone } = server.state.record();
        return options.roundTrips.estimate(region, zone);
    }
}
