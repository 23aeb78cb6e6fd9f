/**
 * The listeners that callers and the deployment ask: which boxes to use, and
 * whether this one is ready, and its own figures.
 *
 * Owns no state: what they answer is read at each question.
 */

import { chooseBoxAddresses, type MemberRecord } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerProtocol } from "./caller-protocol.js";

export interface DirectoryOptions {
    readonly protocol: CallerProtocol;
    /** How long callers may keep an answer. */
    readonly lifetime: Milliseconds;
    readonly inService: () => readonly MemberRecord[];
    /** Called for each look-up. */
    readonly onLookup: () => void;
}

/** Returns the listener of the directory. */
export function createDirectoryListener(options: DirectoryOptions) {
    return (request: IncomingMessage, response: ServerResponse): void => {
        const url = request.url ?? "/";
        const [path, query = ""] = url.split("?", 2);
        if (path !== options.protocol.lookupPath) {
            end(response, 404);
            return;
        }
        options.onLookup();
        const place = options.protocol.readCallerLocality(new URLSearchParams(query));
        const addresses = chooseBoxAddresses(options.inService(), place);
        if (addresses.length === 0) {
            end(response, 503);
            return;
        }
        const body = options.protocol.writeLookup(addresses, options.lifetime);
        response.sendDate = false;
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
        response.end(body);
    };
}

/** Returns the listener that says whether the box is ready. */
export function createReadinessListener(protocol: CallerProtocol, isReady: () => boolean) {
    return (request: IncomingMessage, response: ServerResponse): void => {
        if (request.url !== protocol.readinessPath) {
            end(response, 404);
            return;
        }
        end(response, isReady() ? 200 : 503);
    };
}

/** Returns the listener that serves the box's metrics. */
export function createMetricsListener(path: string, text: () => string) {
    return (request: IncomingMessage, response: ServerResponse): void => {
        if (request.url !== path) {
            end(response, 404);
            return;
        }
        response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(text());
    };
}

function end(response: ServerResponse, status: number): void {
    response.sendDate = false;
    response.writeHead(status, { "Content-Length": 0 }).end();
}
