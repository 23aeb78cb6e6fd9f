/**
 * Header fields that end at each hop, and the system's own.
 */

import type { IncomingHttpHeaders } from "node:http";

/** Header fields of the callers' interface. */
export const ownHeaders = {
    /** Milliseconds until the caller gives up. */
    deadline: "chalkdale-deadline-ms",
    /** Ticket for an operation that must not run twice. */
    ticket: "chalkdale-ticket",
    /** Whether the request ran: `not-run`, `ran` or `unknown`. */
    ran: "chalkdale-ran",
    /** Kind of error. */
    error: "chalkdale-error",
    /** Milliseconds after which to come back. */
    retryAfter: "chalkdale-retry-after-ms",
    /** Box, region and availability zone that served the request. */
    box: "chalkdale-box",
    region: "chalkdale-region",
    zone: "chalkdale-zone",
    /** A backend server sets it to 1 when it is leaving. */
    leaving: "chalkdale-leaving",
} as const;

/** RFC 9110, section 7.6.1, and the fields that proxies keep to themselves. */
const hopByHop = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
]);

const notForwarded = new Set<string>([ownHeaders.deadline, ownHeaders.ticket]);
const notReturned = new Set<string>([ownHeaders.leaving, ownHeaders.box, ownHeaders.region, ownHeaders.zone]);

/** Facts that are added to a forwarded request. */
export interface ForwardedFacts {
    readonly callerAddress: string;
    /** Milliseconds left. */
    readonly remaining: number;
}

/** Returns the header of a request as a backend server gets it. */
export function requestHeaders(headers: IncomingHttpHeaders, facts: ForwardedFacts): Record<string, string | string[]> {
    const named = namedByConnection(headers.connection);
    const result: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHop.has(name) && !named.has(name) && !notForwarded.has(name)) {
            result[name] = value;
        }
    }
    const forwardedFor = headers["x-forwarded-for"];
    result["x-forwarded-for"] = forwardedFor === undefined
        ? facts.callerAddress
        : `${String(forwardedFor)}, ${facts.callerAddress}`;
    result[ownHeaders.deadline] = String(Math.max(0, Math.floor(facts.remaining)));
    return result;
}

/** Returns the header of an answer as the caller gets it. */
export function responseHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const named = namedByConnection(headers.connection);
    const result: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHop.has(name) && !named.has(name) && !notReturned.has(name)) {
            result[name] = value;
        }
    }
    return result;
}

function namedByConnection(connection: string | string[] | undefined): ReadonlySet<string> {
    const text = Array.isArray(connection) ? connection.join(",") : connection ?? "";
    return new Set(text.split(",").map(name => name.trim().toLowerCase()).filter(name => name !== ""));
}
