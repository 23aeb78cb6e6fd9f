/**
 * Health checks of ejected servers, which find out when a server has recovered, and,
 * while the store confirms no records, of servers that may have turned cold. Other
 * servers are not checked: each check is billed and has to wait for a slot of the
 * server.
 *
 * Owns the running checks; the server's ejection and `unconfirmed-checks` decide when
 * one is due.
 */

import { type BackendServer, isFinalStatus, type ServerCatalog } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import { type Log, splitAddress, startTimeout } from "@chalkdale/runtime";
import { type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { LoopShare } from "../loop-share.js";
import type { PathMonitor } from "../paths/path-monitor.js";
import { onClosedUnanswered } from "../unanswered-request.js";
import type { ColdServerSharing } from "./cold-server-sharing.js";
import type { LimitedServers } from "./limited-servers.js";
import type { ServerNotices } from "./server-notices.js";
import type { UnconfirmedChecks } from "./unconfirmed-checks.js";

export interface HealthCheckerOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly catalog: ServerCatalog;
    readonly limitedServers: Pick<LimitedServers, "onHealthCheckAnswer">;
    readonly serverNotices: Pick<ServerNotices, "onAnswer">;
    readonly coldServerSharing: Pick<ColdServerSharing, "onChecked">;
    /** Which servers are checked while their records may be out of date. */
    readonly unconfirmedChecks: UnconfirmedChecks;
    readonly loopShare: Pick<LoopShare, "meter">;
    readonly localAddress: string;
    readonly healthPathOf: (server: BackendServer) => string | undefined;
    readonly paths: Pick<PathMonitor, "pathTo" | "onConnected" | "onConnectFailed">;
    readonly signal: AbortSignal;
}

/** Result of a check over a direct connection. */
type HealthCheckResult = "healthy" | "unhealthy" | "unreachable";

/** Milliseconds for a check, including its wait for a slot: about one request at a cold server. */
const healthCheckTimeout = 600;

/** Returns a function that starts all health checks that are due. */
export function createHealthChecker(options: HealthCheckerOptions): () => void {
    const { clock, log, protocol } = options;
    const running = new Set<BackendServer>();

    return function runDueHealthChecks() {
        const now = clock();
        for (const server of options.catalog.all()) {
            if (running.has(server)) {
                continue;
            }
            const dueAt = server.state.healthCheckDueAt();
            if (dueAt !== undefined && now >= dueAt) {
                runOnce(server, runHealthCheck);
            }
            else if (dueAt === undefined && options.unconfirmedChecks.takeDue(server)) {
                runOnce(server, checkForColdness);
            }
        }
    };

    function runOnce(server: BackendServer, check: (server: BackendServer) => Promise<unknown>): void {
        running.add(server);
        void check(server).finally(() => running.delete(server));
    }

    /** Only what the answer says counts: a check that fails does not eject a server that serves requests. */
    async function checkForColdness(server: BackendServer): Promise<void> {
        const path = options.healthPathOf(server);
        if (path !== undefined && options.paths.pathTo(server) === "direct") {
            await checkDirectly(server, path);
        }
    }

    async function runHealthCheck(server: BackendServer): Promise<void> {
        const path = options.healthPathOf(server);
        if (path === undefined) {
            return;
        }
        const healthy = await checkOnPath(server, path);
        if (options.signal.aborted) {
            return;
        }
        server.state.onHealthCheck(clock(), healthy);
        log.info("server.probed", { server: server.id, healthy });
    }

    /**
     * A server that this box can't reach counts as healthy if another box reaches it: requests are then forwarded
     * through such boxes.
     */
    async function checkOnPath(server: BackendServer, path: string): Promise<boolean> {
        if (options.paths.pathTo(server) !== "direct") {
            return options.paths.onConnectFailed(server);
        }
        const result = await checkDirectly(server, path);
        if (result === "unreachable") {
            return options.paths.onConnectFailed(server);
        }
        options.paths.onConnected(server);
        return result === "healthy";
    }

    function checkDirectly(server: BackendServer, path: string): Promise<HealthCheckResult> {
        return new Promise(resolve => {
            const request = openRequest(server, path);
            if (request === undefined) {
                resolve("unhealthy");
                return;
            }
            let isConnected = false;
            const settle = (healthy: boolean) => {
                cancelTimeout();
                resolve(healthy ? "healthy" : isConnected ? "unhealthy" : "unreachable");
            };
            request.on("socket", socket => {
                options.loopShare.meter(socket);
                socket.once("connect", () => {
                    isConnected = true;
                });
            });
            const cancelTimeout = startTimeout(
                healthCheckTimeout,
                () => request.destroy(new Error("health check timed out")),
            );
            request.on("response", response => {
                response.resume();
                if (!isFinalStatus(response.statusCode ?? 0)) {
                    request.destroy();
                    settle(false);
                    return;
                }
                const isFromServer = applyAnswer(server, response);
                response.on("end", () => settle(response.statusCode === 200 && isFromServer));
                response.on("error", () => settle(false));
            });
            request.on("error", () => settle(false));
            onClosedUnanswered(request, () => settle(false));
            request.end();
        });
    }

    /** Returns undefined if Node refuses to send the request, as for a path with blanks. */
    function openRequest(server: BackendServer, path: string): ClientRequest | undefined {
        const { host, port } = splitAddress(server.state.record().address);
        try {
            return httpRequest({
                host,
                port,
                path,
                agent: false,
                localAddress: options.localAddress,
                signal: options.signal,
                timeout: healthCheckTimeout,
            });
        }
        catch (error) {
            log.warn("server.checkFailed", { server: server.id, reason: String(error) });
            return undefined;
        }
    }

    /**
     * Updates the server's state from an answer; true if the server itself sent it and not another one at its address.
     */
    function applyAnswer(server: BackendServer, response: IncomingMessage): boolean {
        const id = protocol.readServerId(response.headers);
        const coldFor = protocol.readColdFor(response.headers);
        if (id !== undefined && id !== server.id) {
            server.state.onReplaced();
        }
        if (coldFor !== undefined && coldFor > 0) {
            options.coldServerSharing.onChecked(server, coldFor);
        }
        if (id === server.id) {
            options.limitedServers.onHealthCheckAnswer(server, response.headers);
            options.serverNotices.onAnswer(server, { status: response.statusCode ?? 0, headers: response.headers });
        }
        return id === server.id;
    }
}
