/**
 * One request of a caller while it is served, and how it ends.
 *
 * Owns what is counted for the request; one handler and its attempts use it.
 */

import {
    allowedRegionsOf,
    type CallerRetryDetector,
    type ChosenServer,
    type Customer,
    hashKey,
    type RefusalKind,
    requestTimeout,
    type Route,
} from "@chalkdale/decisions";
import {
    type BackendServerId,
    hashText,
    type Milliseconds,
    type RegionId,
    type RequestFingerprint,
    type ServerVersion,
    type ServiceId,
} from "@chalkdale/kernel";
import type { IncomingMessage } from "node:http";
import type { HeaderNames } from "../callers/caller-protocol.js";
import type { ServerAnswer } from "../servers/exchange.js";
import { forwardableHeaders } from "./headers.js";
import { hostOf, urlOf } from "./request-target.js";

/** What is known of a request. */
export interface ActiveRequest {
    readonly route: Route;
    /** Whose request it is; undefined where callers need no key. */
    readonly customer: Customer | undefined;
    /** The only regions whose servers may have it; undefined when all may. */
    readonly allowedRegions: ReadonlySet<RegionId> | undefined;
    readonly service: ServiceId;
    readonly host: string;
    readonly method: string;
    /** With its query. */
    readonly path: string;
    /** Hash of the affinity key, or of a random number for a request without one. */
    readonly keyHash: number;
    readonly requestId: string | undefined;
    readonly startedAt: Milliseconds;
    /** The caller has asked before. */
    readonly isCallerRetry: boolean;
    /** The earlier of the caller's deadline and the route's time limit. */
    readonly deadlineAt: number;
    /** Names and values in turn, with the customer's, without the key, those of the connection and those that each attempt sets. */
    readonly rawHeaders: readonly string[];
    readonly tried: Set<BackendServerId>;
    /** Attempts that reached a server. */
    sent: number;
    /** Attempts that reached none. */
    notSent: number;
    /** A server that turned the request away with free slots may have it again. */
    retriedSameServer: boolean;
    /** An attempt broke off after it had reached a server. */
    mayHaveRun: boolean;
    /** The latest answer of a server, a failure as long as the request goes on. */
    lastAnswer: ServerAnswer | undefined;
    /** What the latest choice of a server went by, for the log. */
    latestChoice: ChosenServer | undefined;
    /** Version of the server of the latest try, where versions are compared; for the log. */
    latestVersion: ServerVersion | undefined;
    /** Set once servers have ended under requests of its kind; for the log. */
    fingerprint: RequestFingerprint | undefined;
}

/** The end of a request: a server's answer, or the box's own. */
export type RequestOutcome =
    | { readonly kind: "answer"; readonly answer: ServerAnswer; }
    | { readonly kind: "refusal"; readonly refusal: RefusalKind; }
    | { readonly kind: "callerLeft"; };

/** Where a request goes, and when it came. */
export interface ActiveRequestInputs {
    readonly route: Route;
    readonly customer: Customer | undefined;
    /** Callers of the deployment have keys, whether this route needs one or not. */
    readonly isKeyRequired: boolean;
    readonly service: ServiceId;
    readonly startedAt: Milliseconds;
    readonly callerRetryDetector: CallerRetryDetector;
    readonly random: () => number;
}

/** Reads a request's head. */
export function createActiveRequest(
    request: IncomingMessage,
    headers: HeaderNames,
    activation: ActiveRequestInputs,
): ActiveRequest {
    const { customer, random, route, service, startedAt } = activation;
    const callerWaits = Number(request.headers[headers.deadline]);
    const limit = requestTimeout(callerWaits, route.timeout);
    const key = request.headers[headers.affinityKey];
    return {
        route,
        customer,
        allowedRegions: allowedRegionsOf(route, customer),
        service,
        host: hostOf(request),
        method: request.method ?? "GET",
        path: urlOf(request),
        keyHash: typeof key === "string" && route.sticky
            ? hashKey(service, `${route.name} ${key}`)
            : hashText(String(random())),
        requestId: singleValue(request.headers[headers.requestId]),
        startedAt,
        isCallerRetry: activation.callerRetryDetector.isCallerRetry(route.name, callerWaits, startedAt),
        deadlineAt: startedAt + limit,
        rawHeaders: headersToServer(request, headers, activation),
        tried: new Set(),
        sent: 0,
        notSent: 0,
        retriedSameServer: false,
        mayHaveRun: false,
        lastAnswer: undefined,
        latestChoice: undefined,
        latestVersion: undefined,
        fingerprint: undefined,
    };
}

/**
 * The caller's headers as a server gets them. Where callers have keys, the key is taken off, and the customer is what the box
 * found, whatever the caller wrote.
 */
function headersToServer(request: IncomingMessage, headers: HeaderNames, activation: ActiveRequestInputs): string[] {
    const { customer, isKeyRequired: isKeyed } = activation;
    const replaced = new Set([headers.deadline, headers.expectedServer]);
    if (isKeyed) {
        replaced.add(headers.customerKey).add(headers.customer);
    }
    const kept = forwardableHeaders(request.rawHeaders, replaced);
    return customer === undefined ? kept : [...kept, headers.customer, customer.id];
}

/** Returns the first value of a header. */
export function singleValue(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
