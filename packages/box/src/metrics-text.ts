/**
 * All metrics of a box as the text that its metrics address serves: counters and
 * latencies, gauges that are read at each request for metrics, and the lines of
 * quotas, retries, roll-outs and messages.
 *
 * Owns nothing.
 */

import type { Membership, SharedLimits } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import type { CallerConnections } from "./callers/caller-connections.js";
import type { EventLoopMonitor } from "./event-loop-monitor.js";
import type { LoadMeter } from "./load-meter.js";
import type { BoxMetrics } from "./metrics.js";
import type { PoisonRequestGuard } from "./poison-requests/poison-request-guard.js";
import type { CustomerQuotas } from "./quotas/customer-quotas.js";
import { quotaMetricLines } from "./quotas/quota-metrics.js";
import type { DataPlane } from "./requests/data-plane.js";
import { retryMetricLines } from "./retry-report.js";
import { rolloutMetricLines } from "./rollouts/rollout-metrics.js";
import type { Rollouts } from "./rollouts/rollouts.js";
import type { ColdServerReport } from "./servers/cold-server-report.js";
import type { LimitedServers } from "./servers/limited-servers.js";
import type { ServerNotices } from "./servers/server-notices.js";
import type { Replicator } from "./state/replicator.js";
import type { SharedState } from "./state/shared-state.js";
import type { TrafficMeter } from "./traffic-meter.js";

/** The parts of a box that provide metrics. */
export interface MetricsTextOptions {
    readonly clock: Clock;
    readonly metrics: BoxMetrics;
    readonly state: SharedState;
    readonly membership: Membership;
    readonly limits: SharedLimits;
    readonly loadMeter: LoadMeter;
    readonly eventLoop: Pick<EventLoopMonitor, "totalDelay">;
    readonly quotas: CustomerQuotas;
    readonly poisonRequestGuard: Pick<PoisonRequestGuard, "heldCount">;
    readonly limitedServers: Pick<LimitedServers, "limited">;
    readonly coldServers: Pick<ColdServerReport, "coldCount" | "requestsToCold">;
    readonly serverNotices: Pick<ServerNotices, "backedOffCount">;
    readonly rollouts: Rollouts | undefined;
    readonly traffic: TrafficMeter;
    readonly requests: DataPlane;
    /** Called at each request for metrics, since the replicator is created later. */
    readonly replicator: () => Replicator;
    readonly callers: () => Pick<CallerConnections, "count" | "inFlight">;
}

/** Returns a function that renders the current metrics. */
export function createMetricsText(options: MetricsTextOptions): () => string {
    const { clock, limits, loadMeter, membership, metrics, quotas, requests, rollouts, state, traffic } = options;

    return () =>
        [
            metrics.text(readGauges()).trimEnd(),
            ...quotaMetricLines(quotas.counts()),
            ...rolloutMetricLines(rollouts?.summaries() ?? [], state.configuration()?.routes ?? []),
            ...retryMetricLines(limits.retryBudgets()),
            ...traffic.metricLines(),
            "",
        ].join("\n");

    function readGauges(): Record<string, number | undefined> {
        const replicator = options.replicator();
        const callers = options.callers();
        return {
            configuration_version: state.configuration()?.version,
            store_epoch: state.storeEpoch(),
            servers_revision: state.replica("servers").revision(),
            servers_age_milliseconds: Math.round(replicator.confirmedAge("servers")),
            store_lost_milliseconds: replicator.storeUnavailableFor(),
            servers_backed_off: options.serverNotices.backedOffCount(),
            servers_cold: options.coldServers.coldCount(),
            cold_servers_requests_total: options.coldServers.requestsToCold(),
            servers_limited: options.limitedServers.limited().length,
            requests_held: options.poisonRequestGuard.heldCount(),
            boxes_alive: membership.alive(clock()).length,
            boxes_carrying: limits.advertised().length,
            event_loop_delay_milliseconds_total: Math.round(options.eventLoop.totalDelay()),
            own_load_cores: loadMeter.cores(),
            callers_connections: callers.count(),
            callers_in_flight: callers.inFlight(),
            servers_cut: requests.paths.summary().cut,
            servers_unreachable: requests.paths.summary().unreachable,
            isolated: Number(requests.paths.summary().isIsolated),
            forwarded_in_progress: requests.forwarding.inProgress(),
            servers_connections: requests.connectionCount(),
            bodies_bytes: requests.bodyBytes(),
            memory_bytes: process.memoryUsage.rss(),
        };
    }
}
