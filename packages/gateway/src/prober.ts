/**
 * Health checks of servers that are left out after failures, to learn when
 * they are back. Servers that answer requests are not checked.
 */

import type { Clock, Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { CatalogServer, ServerCatalog } from "@chalkdale/steering";
import { request as httpRequest } from "node:http";
import type { CallerProtocol } from "./caller-protocol.js";
import { splitAddress } from "./peer-link.js";

export interface ProberOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly catalog: ServerCatalog;
    readonly localAddress: string;
    readonly healthPathOf: (server: CatalogServer) => string | undefined;
    readonly signal: AbortSignal;
}

const probeTimeout = 600;

/** Returns the function that makes the checks which are due. */
export function createProber(options: ProberOptions): () => void {
    const { clock, log, protocol } = options;
    const running = new Set<CatalogServer>();

    return function probeDue() {
        const now = clock();
        for (const server of options.catalog.all()) {
            const dueAt = server.standing.probeDueAt();
            if (dueAt !== undefined && now >= dueAt && !running.has(server)) {
                running.add(server);
                void probe(server).finally(() => running.delete(server));
            }
        }
    };

    async function probe(server: CatalogServer): Promise<void> {
        const path = options.healthPathOf(server);
        if (path === undefined) {
            return;
        }
        const healthy = await check(server, path);
        if (options.signal.aborted) {
            return;
        }
        server.standing.onProbed(clock(), healthy);
        log.info("server.probed", { server: server.id, healthy });
    }

    function check(server: CatalogServer, path: string): Promise<boolean> {
        const { host, port } = splitAddress(server.standing.record().address);
        return new Promise(resolve => {
            const request = httpRequest({
                host,
                port,
                path,
                agent: false,
                localAddress: options.localAddress,
                signal: options.signal,
                timeout: probeTimeout,
            });
            const deadline = setTimeout(() => request.destroy(new Error("no answer")), probeTimeout);
            request.on("response", response => {
                response.resume();
                const id = protocol.readServerId(response.headers);
                const coldFor = protocol.readColdFor(response.headers);
                if (id !== undefined && id !== server.id) {
                    server.standing.onReplaced();
                }
                if (coldFor !== undefined && coldFor > 0) {
                    server.standing.onCold(clock(), coldFor as Milliseconds);
                }
                response.on("end", () => settle(response.statusCode === 200 && id === server.id));
                response.on("error", () => settle(false));
            });
            request.on("error", () => settle(false));
            request.end();

            function settle(healthy: boolean): void {
                clearTimeout(deadline);
                resolve(healthy);
            }
        });
    }
}
