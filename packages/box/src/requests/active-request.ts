/**
 * State of one caller's request while it is served, and how it ends.
 *
 * Owns the request's counts and flags; the request handler and the attempts of
 * the request update them.
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
    type SendRecord,
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
import type { ConfirmedCaller, ServerAnswer } from "../servers/exchange.js";
import type { AnswerMemory } from "./answer-memory.js";
import { forwardableHeaders } from "./headers.js";
import { hostOf, urlOf } from "./request-target.js";

/** A request that is being served. */
export interface ActiveRequest {
    readonly route: Route;
    /** Version of the configuration by which the request was admitted. */
    readonly configurationVersion: number;
    /** The customer whose key the request carries; undefined on routes that need no key. */
    readonly customer: Customer | undefined;
    /** Regions whose servers may get the request; undefined if all may. */
    readonly allowedRegions: ReadonlySet<RegionId> | undefined;
    readonly service: ServiceId;
    readonly host: string;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    /** Hash of the affinity key, or of a random number for a request without one. */
    readonly keyHash: number;
    readonly requestId: string | undefined;
    readonly startedAt: Milliseconds;
    /** Upper bound of the time for which the request's head was unread before `startedAt`. */
    readonly unreadFor: Milliseconds;
    /** Tells whether the caller is still there. */
    readonly caller: ConfirmedCaller;
    /** The memory of the answers that servers gave to the request. */
    readonly answerMemory: AnswerMemory;
    /** What each of its sends was told. */
    readonly sends: SendRecord;
    /** When the latest attempt was sent; undefined before the first. */
    sentAt: Milliseconds | undefined;
    /** The caller retries a request that failed or was refused before; see `CallerRetryDetector`. */
    readonly isCallerRetry: boolean;
    /** The earlier of the caller's deadline and the route's time limit. */
    readonly deadlineAt: number;
    /** When the caller has given up by its own deadline; infinite if it named none. */
    readonly callerWaitsUntil: number;
    /**
     * Headers for a server, names and values alternating: with the customer's id, but without the caller's key,
     * hop-by-hop headers and those that each attempt sets.
     */
    readonly rawHeaders: readonly string[];
    /** Servers that were chosen for the request and may not be chosen again. */
    readonly tried: Set<BackendServerId>;
    /** Attempts that reached a server. */
    sent: number;
    /** Attempts that reached no server. */
    notSent: number;
    /** True once the request was repeated at a server that refused it despite free slots: done only once. */
    retriedSameServer: boolean;
    /** The latest answer of a server; while the request goes on, a failure or an unverified success. */
    lastAnswer: ServerAnswer | undefined;
    /** The latest choice of a server with its inputs, for the log. */
    latestChoice: ChosenServer | undefined;
    /** Version of the server of the latest attempt, while versions of the service are compared; for the log. */
    latestVersion: ServerVersion | undefined;
    /** Why no server may take the request, by number of servers; for the log. */
    excluded: string | undefined;
    /** Why no further attempt was made; undefined before. After a run the caller's refusal doesn't show it. */
    noFurtherAttempt: RefusalKind | undefined;
    /** Set once servers have crashed under requests with this fingerprint; for the log. */
    fingerprint: RequestFingerprint | undefined;
}

/** How a request ends: with a server's answer, with a refusal, or because its caller left. */
export type RequestOutcome =
    | { readonly kind: "answer"; readonly answer: ServerAnswer; }
    /** `refusal`: why it was given up; the caller gets another one if it may have run. */
    | { readonly kind: "refusal"; readonly refusal: RefusalKind; }
    | { readonly kind: "callerLeft"; };

/** Inputs of `createActiveRequest` besides the request itself. */
export interface ActiveRequestInputs {
    readonly route: Route;
    readonly configurationVersion: number;
    readonly customer: Customer | undefined;
    /** Callers of the deployment have keys, whether or not this route needs one. */
    readonly isKeyRequired: boolean;
    readonly service: ServiceId;
    readonly startedAt: Milliseconds;
    readonly unreadFor: Milliseconds;
    readonly caller: ConfirmedCaller;
    readonly answerMemory: AnswerMemory;
    readonly sends: SendRecord;
    readonly callerRetryDetector: CallerRetryDetector;
    readonly random: () => number;
}

/** Creates the state of a request from its head. */
export function createActiveRequest(
    request: IncomingMessage,
    headers: HeaderNames,
    inputs: ActiveRequestInputs,
): ActiveRequest {
    const { customer, random, route, service, startedAt } = inputs;
    const callerTimeout = Number(request.headers[headers.deadline]);
    const timeout = requestTimeout(callerTimeout, route.timeout);
    const key = request.headers[headers.affinityKey];
    return {
        route,
        configurationVersion: inputs.configurationVersion,
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
        unreadFor: inputs.unreadFor,
        caller: inputs.caller,
        answerMemory: inputs.answerMemory,
        sends: inputs.sends,
        sentAt: undefined,
        isCallerRetry: inputs.callerRetryDetector.isCallerRetry(route.name, callerTimeout, startedAt),
        deadlineAt: startedAt + timeout,
        callerWaitsUntil: startedAt + (Number.isFinite(callerTimeout) && callerTimeout > 0 ? callerTimeout : Infinity),
        rawHeaders: headersToServer(request, headers, inputs),
        tried: new Set(),
        sent: 0,
        notSent: 0,
        retriedSameServer: false,
        lastAnswer: undefined,
        latestChoice: undefined,
        latestVersion: undefined,
        excluded: undefined,
        noFurtherAttempt: undefined,
        fingerprint: undefined,
    };
}

/**
 * Returns the caller's headers as a server gets them. Where callers have keys, the key is removed, and the customer
 * header is set by the box, or left out on a route that needs no key, whatever the caller sent.
 */
function headersToServer(request: IncomingMessage, headers: HeaderNames, inputs: ActiveRequestInputs): string[] {
    const { customer, isKeyRequired } = inputs;
    const replaced = new Set([headers.deadline, headers.expectedServer]);
    if (isKeyRequired) {
        replaced.add(headers.customerKey).add(headers.customer);
    }
    const kept = forwardableHeaders(request.rawHeaders, replaced);
    return customer === undefined ? kept : [...kept, headers.customer, customer.id];
}

/** Returns the value of a header, the first one if it has several. */
export function singleValue(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
