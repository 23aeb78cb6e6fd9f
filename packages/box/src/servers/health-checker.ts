/**
 * Health checks of ejected servers, to learn when they are back. Servers that
 * answer requests are not checked: each check is paid for and waits for a slot.
 *
 * Owns the checks that run; when one is due is decided by the ejection.
 */

import type { BackendServer, ServerCatalog } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import { type Log, splitAddress } from "@chalkdale/runtime";
import { type IncomingMessage, request as httpRequest } from "node:http";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { LimitedServers } from "./limited-servers.js";
import type { ServerNotices } from "./server-notices.js";

export interface HealthCheckerOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly catalog: ServerCatalog;
    readonly limitedServers: Pick<LimitedServers, "onHealthCheckAnswer">;
    readonly serverNotices: Pick<ServerNotices, "onAnswer">;
    readonly localAddress: string;
    readonly healthPathOf: (server: BackendServer) => string | undefined;
    readonly signal: AbortSignal;
}

/** Milliseconds for a check, its wait for a slot included: about one request of cold work. */
const healthCheckTimeout = 600;

/** Returns the function that makes the checks which are due. */
export function createHealthChecker(options: HealthCheckerOptions): () => void {
    const { clock, log, protocol } = options;
    const running = new Set<BackendServer>();

    return function runDueHealthChecks() {
        const now = clock();
        for (const server of options.catalog.all()) {
            const dueAt = server.state.healthCheckDueAt();
            if (dueAt !== undefined && now >= dueAt && !running.has(server)) {
                running.add(server);
                void run(server).finally(() => running.delete(server));
            }
        }
    };

    async function run(server: BackendServer): Promise<void> {
        const path = options.healthPathOf(server);
        if (path === undefined) {
            return;
        }
        const healthy = await check(server, path);
        if (options.signal.aborted) {
            return;
        }
        server.state.onHealthCheck(clock(), healthy);
        log.info("server.probed", { server: server.id, healthy });
    }

    function check(server: BackendServer, path: string): Promise<boolean> {
        const { host, port } = splitAddress(server.state.record().address);
        return new Promise(resolve => {
            const request = httpRequest({
                host,
                port,
                path,
                agent: false,
                localAddress: options.localAddress,
                signal: options.signal,
                timeout: healthCheckTimeout,
            });
            const settle = (healthy: boolean) => {
                clearTimeout(deadline);
                resolve(healthy);
            };
            const deadline = setTimeout(() => request.destroy(new Error("no answer")), healthCheckTimeout);
            request.on("response", response => {
                response.resume();
                const isOwn = learn(server, response);
                response.on("end", () => settle(response.statusCode === 200 && isOwn));
                response.on("error", () => settle(false));
            });
            request.on("error", () => settle(false));
            request.end();
        });
    }

    /** Learns from a health answer; true if it is this server's own. */
    function learn(server: BackendServer, response: IncomingMessage): boolean {
        const id = protocol.readServerId(response.headers);
        const coldFor = protocol.readColdFor(response.headers);
        if (id !== undefined && id !== server.id) {
            server.state.onReplaced();
        }
        if (coldFor !== undefined && coldFor > 0) {
            server.state.onCold(clock(), coldFor);
        }
        if (id === server.id) {
            options.limitedServers.onHealthCheckAnswer(server, response.headers);
            options.serverNotices.onAnswer(server, { status: response.statusCode ?? 0, headers: response.headers });
        }
        return id === server.id;
    }
}
