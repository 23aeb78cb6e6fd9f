/**
 * How callers and backend servers spell what a box means. The deployment
 * supplies it; the box itself knows no header by name.
 *
 * Owns nothing; `platform/` implements it.
 */

import type { CallerLocality, LoadReport } from "@chalkdale/decisions";
import type { BackendServerId, Milliseconds } from "@chalkdale/kernel";

/** Header names, in lower case. */
export interface HeaderNames {
    readonly requestId: string;
    /** Milliseconds that the sender will wait. */
    readonly deadline: string;
    readonly affinityKey: string;
    /** The caller's key. Never passed on to a server. */
    readonly customerKey: string;
    /** Name of the customer whose request it is, as the box tells it to a server. */
    readonly customer: string;
    /** The one server that may run the request. */
    readonly expectedServer: string;
    /** Proof that an answer is the server's own. */
    readonly serverStamp: string;
    /** The request did not run. */
    readonly notRun: string;
    readonly backendServerId: string;
}

/** The first part of an answer of a server. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: NodeJS.Dict<string | string[]>;
}

/** What an answer of a server says of the rate that the server takes. */
export type ParsedRateLimit =
    /** Requests a second, from all boxes together. */
    | { readonly kind: "named"; readonly rate: number; }
    | { readonly kind: "none"; }
    /** Something stands there that is no rate. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** What an answer of a server says of the time for which the server wants nothing from this box. */
export type ParsedBackoff =
    | { readonly kind: "asked"; readonly duration: Milliseconds; }
    | { readonly kind: "none"; }
    /** Something stands there that is no time. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** Header names as they are written, and how values and paths are read. */
export interface CallerProtocol {
    readonly headers: HeaderNames;
    readonly readinessPath: string;
    readonly lookupPath: string;
    /** Reads where a caller of the directory is from the query. */
    readonly readCallerLocality: (query: URLSearchParams) => CallerLocality;
    readonly writeLookup: (addresses: readonly string[], lifetime: Milliseconds) => string;
    /** Reads the load that a server reports, if it does. */
    readonly readLoad: (headers: NodeJS.Dict<string | string[]>) => LoadReport | undefined;
    /** Reads how much longer a server says that it is cold. */
    readonly readColdFor: (headers: NodeJS.Dict<string | string[]>) => Milliseconds | undefined;
    /** True if a server says that it is leaving. */
    readonly readLeaving: (headers: NodeJS.Dict<string | string[]>) => boolean;
    /** Reads for how long a server that turns a request away wants nothing from this box. */
    readonly readBackoff: (answer: AnswerHead) => ParsedBackoff;
    /** Reads the rate that a server names. */
    readonly readRateLimit: (headers: NodeJS.Dict<string | string[]>) => ParsedRateLimit;
    readonly readServerId: (headers: NodeJS.Dict<string | string[]>) => BackendServerId | undefined;
}
