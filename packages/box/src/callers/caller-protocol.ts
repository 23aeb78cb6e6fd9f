/**
 * The header names, paths and formats of the protocol between a box, its callers
 * and backend servers. The deployment supplies them; the box hard-codes no header name.
 *
 * Owns nothing; `platform/` implements it.
 */

import type { CallerLocality, LoadReport } from "@chalkdale/decisions";
import type { BackendServerId, Milliseconds } from "@chalkdale/kernel";

/** Header names, in lower case. */
export interface HeaderNames {
    readonly requestId: string;
    /** Milliseconds for which the sender will wait for an answer. */
    readonly deadline: string;
    readonly affinityKey: string;
    /** The caller's key. Never forwarded to a server. */
    readonly customerKey: string;
    /** Name of the customer that sent the request; set by the box for the server. */
    readonly customer: string;
    /** Id of the only server that may run the request. */
    readonly expectedServer: string;
    /** Proof that an answer comes from the server itself. */
    readonly serverStamp: string;
    /** Set on an answer to state that the request did not run. */
    readonly notRun: string;
    readonly backendServerId: string;
}

/** Status and headers of a server's answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: NodeJS.Dict<string | string[]>;
}

/** The rate limit that a server reports in an answer. */
export type ParsedRateLimit =
    /** Requests a second, from all boxes together. */
    | { readonly kind: "named"; readonly rate: number; }
    | { readonly kind: "none"; }
    /** The header is there but holds no valid rate. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** The back-off that a server asks for in an answer: for how long this box should send it no requests. */
export type ParsedBackoff =
    | { readonly kind: "asked"; readonly duration: Milliseconds; }
    | { readonly kind: "none"; }
    /** The header is there but holds no valid time. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** Header names, paths, and the functions that read and write their values. */
export interface CallerProtocol {
    readonly headers: HeaderNames;
    readonly readinessPath: string;
    readonly lookupPath: string;
    /** Reads a caller's region and zone from the query of a directory look-up. */
    readonly readCallerLocality: (query: URLSearchParams) => CallerLocality;
    /** Writes the body of a look-up's answer; `lifetime` is how long callers may cache it. */
    readonly writeLookup: (addresses: readonly string[], lifetime: Milliseconds) => string;
    /** Reads the load that a server reports; undefined if it reports none. */
    readonly readLoad: (headers: NodeJS.Dict<string | string[]>) => LoadReport | undefined;
    /** Reads for how much longer a server reports to be cold; undefined if it reports nothing. */
    readonly readColdFor: (headers: NodeJS.Dict<string | string[]>) => Milliseconds | undefined;
    /** Returns true if a server announces that it is leaving. */
    readonly readLeaving: (headers: NodeJS.Dict<string | string[]>) => boolean;
    /** Reads the back-off that a server asks for when it rejects a request. */
    readonly readBackoff: (answer: AnswerHead) => ParsedBackoff;
    /** Reads the rate limit that a server reports. */
    readonly readRateLimit: (headers: NodeJS.Dict<string | string[]>) => ParsedRateLimit;
    /** Reads the id of the server that sent the answer; undefined without one. */
    readonly readServerId: (headers: NodeJS.Dict<string | string[]>) => BackendServerId | undefined;
}
