/**
 * The listeners of a box that callers and the deployment reach: requests,
 * readiness, the directory, and the box's metrics.
 *
 * Owns the sockets; what they answer is handed in.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { Address, Log } from "@chalkdale/runtime";
import { createServer, type Server } from "node:http";
import type { BoxSettings } from "../settings.js";
import { type CallerConnections, serveCallers } from "./caller-connections.js";
import type { CallerPipelinesOptions } from "./caller-pipeline.js";
import type { CallerProtocol } from "./caller-protocol.js";
import { createDirectoryListener, createMetricsListener, createReadinessListener } from "./listeners.js";

export interface CallerServerOptions {
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly settings: BoxSettings;
    readonly pipelines: CallerPipelinesOptions;
    readonly isReady: () => boolean;
    /** Boxes to which callers may be sent. */
    readonly inService: () => readonly MemberRecord[];
    /** Called for each look-up at the directory. */
    readonly onLookup: () => void;
    readonly metricsText: () => string;
}

/** The running listeners. */
export interface CallerServer {
    readonly connections: CallerConnections;
    /** Sets how long an idle connection of a caller is kept; a margin is added. */
    readonly setIdleTimeout: (timeout: Milliseconds) => void;
    readonly close: () => void;
}

/** Path of the metrics. */
const metricsPath = "/metrics";
/** Bytes of a request's head that Node takes; what the configuration allows is less. */
const largestHead = 64 * 1024;
/** Milliseconds added to the idle time that callers know, so that a connection isn't closed as they use it. */
const idleMargin = 1000;

/** Starts to listen. */
export function startCallerServer(options: CallerServerOptions): CallerServer {
    const { protocol, settings } = options;
    const callers = createServer({
        maxHeaderSize: largestHead,
        requestTimeout: 0,
        noDelay: true,
        // The pipeline answers such requests itself.
        requireHostHeader: false,
    });
    const connections = serveCallers(callers, options.pipelines);
    const directory = createDirectoryListener({
        protocol,
        lifetime: settings.bounds.lookupLifetime,
        onLookup: options.onLookup,
        inService: options.inService,
    });
    const servers = [
        listen(callers, settings.callers),
        listen(createServer(createReadinessListener(protocol, options.isReady)), settings.readiness),
        listen(createServer(directory), settings.directory),
    ];
    if (settings.metrics !== undefined) {
        servers.push(listen(createServer(createMetricsListener(metricsPath, options.metricsText)), settings.metrics));
    }

    return {
        connections,
        setIdleTimeout(timeout) {
            callers.keepAliveTimeout = timeout + idleMargin;
        },
        close: () => servers.forEach(server => server.close()),
    };

    function listen(server: Server, { host, port }: Address): Server {
        server.on("error", error => {
            options.log.error("listen.failed", { port, reason: error.message });
            process.exitCode = 1;
        });
        server.listen(port, host);
        return server;
    }
}
