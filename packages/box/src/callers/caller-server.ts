/**
 * Starts the HTTP listeners of a box: requests of callers, readiness, the
 * directory, and the box's metrics.
 *
 * Owns the listening sockets; the handlers are passed in.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { Address, Log } from "@chalkdale/runtime";
import { createServer, type Server } from "node:http";
import { connectionLimitOf, limitConnections, type ListenerKind } from "../connection-limiter.js";
import type { BoxSettings } from "../settings.js";
import { type CallerConnections, serveCallers } from "./caller-connections.js";
import type { CallerPipelinesOptions } from "./caller-pipeline.js";
import type { CallerProtocol } from "./caller-protocol.js";
import { createDirectoryListener, createMetricsListener, createReadinessListener } from "./listeners.js";

/** Settings of the listeners, and the sources of their answers. */
export interface CallerServerOptions {
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly settings: BoxSettings;
    readonly pipelines: CallerPipelinesOptions;
    readonly isReady: () => boolean;
    /** Returns the boxes that the directory may hand out. */
    readonly inService: () => readonly MemberRecord[];
    /** Called for each look-up at the directory. */
    readonly onLookup: () => void;
    /** Returns the metrics in Prometheus text format. */
    readonly metricsText: () => string;
}

/** The running listeners. */
export interface CallerServer {
    readonly connections: CallerConnections;
    /** Sets how long an idle connection of a caller is kept; a margin is added. */
    readonly setIdleTimeout: (timeout: Milliseconds) => void;
    /** Stops listening; open connections stay. */
    readonly close: () => void;
}

const metricsPath = "/metrics";
/** Largest head of a request that Node's parser accepts, in bytes; the configuration's own limit is lower. */
const maxHeadBytes = 64 * 1024;
/** Milliseconds added to the idle timeout that callers know: the box must not close a connection as they reuse it. */
const idleMargin = 1000;

/** Starts all listeners. A listener that fails is logged and sets the process's exit code. */
export function startCallerServer(options: CallerServerOptions): CallerServer {
    const { protocol, settings } = options;
    const callerServer = createServer({
        maxHeaderSize: maxHeadBytes,
        requestTimeout: 0,
        noDelay: true,
        // The pipeline answers requests without a Host header itself.
        requireHostHeader: false,
    });
    const connections = serveCallers(callerServer, {
        ...options.pipelines,
        maxConnections: connectionLimitOf("callers", settings.descriptorLimit),
    });
    const directoryListener = createDirectoryListener({
        protocol,
        lifetime: settings.bounds.lookupLifetime,
        onLookup: options.onLookup,
        inService: options.inService,
    });
    const servers = [
        listen("callers", callerServer, settings.callers),
        listen("monitoring", createServer(createReadinessListener(protocol, options.isReady)), settings.readiness),
        listen("lookUps", createServer(directoryListener), settings.directory),
    ];
    if (settings.metrics !== undefined) {
        servers.push(
            listen(
                "monitoring",
                createServer(createMetricsListener(metricsPath, options.metricsText)),
                settings.metrics,
            ),
        );
    }

    return {
        connections,
        setIdleTimeout(timeout) {
            callerServer.keepAliveTimeout = timeout + idleMargin;
        },
        close: () => servers.forEach(server => server.close()),
    };

    /** The listener of callers limits its connections itself. */
    function listen(kind: ListenerKind, server: Server, { host, port }: Address): Server {
        if (kind !== "callers") {
            limitConnections(server, connectionLimitOf(kind, settings.descriptorLimit));
        }
        server.on("error", error => {
            options.log.error("listen.failed", { port, reason: error.message });
            process.exitCode = 1;
        });
        server.listen(port, host);
        return server;
    }
}
