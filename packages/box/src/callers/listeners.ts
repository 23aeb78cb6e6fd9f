/**
 * HTTP listeners for the directory (which boxes a caller should use), for the
 * readiness of this box, and for its metrics.
 *
 * Owns no state: each request reads the current values.
 */

import { chooseBoxAddresses, type MemberRecord } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerProtocol } from "./caller-protocol.js";

/** Settings of the directory, and the boxes that it hands out. */
export interface DirectoryOptions {
    readonly protocol: CallerProtocol;
    /** How long callers may cache an answer. */
    readonly lifetime: Milliseconds;
    /** Returns the boxes that may be handed out. */
    readonly inService: () => readonly MemberRecord[];
    /** Called for each look-up. */
    readonly onLookup: () => void;
}

/** Creates the listener of the directory, which answers 503 while no box is in service. */
export function createDirectoryListener(options: DirectoryOptions) {
    return (request: IncomingMessage, response: ServerResponse): void => {
        const url = request.url ?? "/";
        const [path, query = ""] = url.split("?", 2);
        if (path !== options.protocol.lookupPath) {
            endWithStatus(response, 404);
            return;
        }
        options.onLookup();
        const locality = options.protocol.readCallerLocality(new URLSearchParams(query));
        const addresses = chooseBoxAddresses(options.inService(), locality);
        if (addresses.length === 0) {
            endWithStatus(response, 503);
            return;
        }
        const body = options.protocol.writeLookup(addresses, options.lifetime);
        response.sendDate = false;
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
        response.end(body);
    };
}

/** Creates the listener that answers 200 if the box is ready, else 503. */
export function createReadinessListener(protocol: CallerProtocol, isReady: () => boolean) {
    return (request: IncomingMessage, response: ServerResponse): void => {
        if (request.url !== protocol.readinessPath) {
            endWithStatus(response, 404);
            return;
        }
        endWithStatus(response, isReady() ? 200 : 503);
    };
}

/** Creates the listener that serves the box's metrics at a path. */
export function createMetricsListener(path: string, metricsText: () => string) {
    return (request: IncomingMessage, response: ServerResponse): void => {
        if (request.url !== path) {
            endWithStatus(response, 404);
            return;
        }
        response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(metricsText());
    };
}

function endWithStatus(response: ServerResponse, status: number): void {
    response.sendDate = false;
    response.writeHead(status, { "Content-Length": 0 }).end();
}
