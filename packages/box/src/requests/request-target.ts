/**
 * Where a request is to go, as its head says.
 *
 * Owns nothing.
 */

import type { IncomingMessage } from "node:http";

/** Returns the host, with its port if the caller wrote one; empty without one. */
export function hostOf(request: IncomingMessage): string {
    return request.headers.host ?? "";
}

/** Returns the path with its query. */
export function urlOf(request: IncomingMessage): string {
    return request.url ?? "/";
}

/** Returns the path without the query. */
export function pathOf(request: IncomingMessage): string {
    const url = urlOf(request);
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}
