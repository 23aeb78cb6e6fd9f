/**
 * Logs and counts requests: the decisions with their inputs, and how each request
 * ended. Every refusal is logged with the request's id, within the budget of log
 * lines.
 *
 * Owns no state; relies on the shared state for the versions that it logs.
 */

import {
    type ChosenServer,
    describePosition,
    isSuccessStatus,
    type QuotaDenial,
    type RefusalKind,
} from "@chalkdale/decisions";
import type { BackendServerId, Clock, CustomerId, Milliseconds, RequestFingerprint } from "@chalkdale/kernel";
import type { Log, LogFields } from "@chalkdale/runtime";
import type { BoxMetrics } from "../metrics.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { SharedState } from "../state/shared-state.js";
import type { ActiveRequest } from "./active-request.js";

/** Log of the requests of one box. */
export interface RequestLog {
    /**
     * `fingerprint` is given for a request that broke off at the server, so that its repeats can be recognized in the
     * log.
     */
    readonly attemptFailed: (
        active: ActiveRequest,
        server: BackendServerId,
        reason: string,
        fingerprint?: RequestFingerprint,
    ) => void;
    /** The request is sent to the server `second` while the answer of the server `overdue` is outstanding. */
    readonly hedged: (active: ActiveRequest, overdue: BackendServerId, second: BackendServerId) => void;
    readonly served: (active: ActiveRequest, answer: ServerAnswer) => void;
    readonly refused: (active: ActiveRequest, refusal: RefusalKind) => void;
    /** A request was refused at admission or by its customer's quota. */
    readonly notAdmitted: (request: UnadmittedRequest, refusal: RefusalKind) => void;
    readonly callerLeft: (active: ActiveRequest) => void;
    /** A caller had left before its request was admitted; `unreadFor`: see `CallerExchange`. */
    readonly callerLeftUnread: (request: UnadmittedRequest, unreadFor: Milliseconds) => void;
}

/** A request that was refused before it became active. */
export interface UnadmittedRequest {
    readonly requestId: string | undefined;
    readonly host: string;
    /** Path with the query. */
    readonly path: string;
    /** Time since the store confirmed the configuration on which the refusal is based. */
    readonly copyAge: Milliseconds;
    readonly customer?: CustomerId;
    /** This box's part of the customer's quota, if the request exceeded it. */
    readonly quotaDenied?: QuotaDenial;
}

export interface RequestLogOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: BoxMetrics;
    readonly state: SharedState;
    /** Time since the store confirmed the list of servers. */
    readonly serversAge: () => Milliseconds;
}

/** Creates the log of a box's requests. */
export function createRequestLog(options: RequestLogOptions): RequestLog {
    const { clock, log, metrics, state } = options;

    return {
        attemptFailed(active, server, reason, fingerprint) {
            log.info("attempt.failed", {
                request: active.requestId,
                route: active.route.name,
                server,
                serverVersion: active.latestVersion,
                sent: active.sent,
                reason,
                fingerprint,
                timeLeft: Math.round(active.deadlineAt - clock()),
            });
        },
        hedged(active, overdue, second) {
            metrics.onAttempt("hedged");
            log.info("attempt.hedged", {
                request: active.requestId,
                route: active.route.name,
                overdue,
                second,
                after: Math.round(ageOf(active)),
                timeLeft: Math.round(active.deadlineAt - clock()),
            });
        },
        served(active, answer) {
            metrics.onRequestEnded(active.route.name, String(answer.status), ageOf(active));
            log.info("request.served", {
                request: active.requestId,
                route: active.route.name,
                customer: active.customer?.id,
                status: answer.status,
                tried: [...active.tried].join(","),
                sendResults: isSuccessStatus(answer.status) ? undefined : active.sends.describe(),
                ...choiceFields(active.latestChoice),
                serverVersion: active.latestVersion,
                after: Math.round(ageOf(active)),
                version: active.configurationVersion,
                ...serversFields(),
            });
        },
        refused(active, refusal) {
            metrics.onRequestEnded(active.route.name, refusal, ageOf(active));
            log.info("request.refused", {
                request: active.requestId,
                route: active.route.name,
                customer: active.customer?.id,
                refusal,
                noFurtherAttempt: active.noFurtherAttempt === refusal ? undefined : active.noFurtherAttempt,
                excluded: active.excluded,
                fingerprint: active.fingerprint,
                sent: active.sent,
                tried: [...active.tried].join(",") || undefined,
                sendResults: active.sends.describe(),
                after: Math.round(ageOf(active)),
                timeLeft: Math.round(active.deadlineAt - clock()),
                version: active.configurationVersion,
                ...serversFields(),
            });
        },
        notAdmitted({ copyAge, customer, host, path, quotaDenied, requestId }, refusal) {
            const version = state.configuration()?.version;
            if (refusal === "noRoute") {
                log.info("request.noRoute", { request: requestId, host, path, version });
                return;
            }
            log.info("request.refused", {
                request: requestId,
                customer,
                refusal,
                ...quotaFields(quotaDenied),
                version,
                copyAge: Math.round(copyAge),
                ...serversFields(),
            });
        },
        callerLeftUnread({ requestId }, unreadFor) {
            metrics.onCallerLeftUnread();
            log.info("request.callerLeft", { request: requestId, sent: 0, unreadFor: Math.round(unreadFor) });
        },
        callerLeft(active) {
            const outcome = active.sent > 0 ? "callerLeft" : "callerLeftUnsent";
            metrics.onRequestEnded(active.route.name, outcome, ageOf(active));
            log.info("request.callerLeft", {
                request: active.requestId,
                route: active.route.name,
                sent: active.sent,
                sentAfter: active.sentAt && Math.round(active.sentAt - active.startedAt),
                unreadFor: Math.round(active.unreadFor),
                after: Math.round(ageOf(active)),
            });
        },
    };

    /** Returns the revision of the replica of the servers, and the time since the store confirmed it. */
    function serversFields(): LogFields {
        const revision = state.replica("servers").revision();
        return {
            serversRevision: revision === undefined ? undefined : describePosition(revision),
            serversAge: Math.round(options.serversAge()),
        };
    }

    function ageOf(active: ActiveRequest): number {
        return clock() - active.startedAt;
    }
}

/**
 * Returns the part of the customer's quota that the request exceeded: a lease, with its age, or an equal part of the
 * quota per box.
 */
function quotaFields(denied: QuotaDenial | undefined): LogFields {
    if (denied === undefined) {
        return {};
    }
    const { boxCount, retryAfter, leaseAge, shareRate } = denied;
    return {
        quotaPart: shareRate.toFixed(1),
        quotaBoxes: boxCount,
        leaseAge: leaseAge && Math.round(leaseAge),
        comeBackAfter: Math.round(retryAfter),
    };
}

/**
 * Returns the inputs of the latest choice: the server's rank for the key, expected times in milliseconds, and the
 * runner-up.
 */
function choiceFields(choice: ChosenServer | undefined): LogFields {
    if (choice === undefined) {
        return {};
    }
    const { expected, rank, runnerUp, warm } = choice;
    return {
        rank,
        warm,
        expected: Math.round(expected),
        runnerUp: runnerUp?.server,
        runnerUpExpected: runnerUp && Math.round(runnerUp.expected),
    };
}
