/**
 * Reads the target of a request, its host and path, from its head.
 *
 * Owns nothing.
 */

import type { IncomingMessage } from "node:http";

/** Returns the host, with its port if the caller sent one; empty if there is no Host header. */
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
