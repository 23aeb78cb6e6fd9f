/**
 * Serves a caller's request from its head to its answer: admission, quota, body,
 * attempts, answer. A request that is given up is refused at once.
 *
 * Owns the timer of the request's deadline; relies on the admission and the attempt
 * loop for decisions, and on the caller's exchange to abort the request when the
 * caller leaves.
 */

import {
    admit,
    type AdmittedRequest,
    type BodyMemory,
    type ConfigurationInForce,
    type CopyAgeBounds,
    createCallerRetryDetector,
    type DecidedRefusal,
    decideRefusal,
    decideStatus,
    guaranteesNotRun,
    isIdempotent,
    type RefusalKind,
} from "@chalkdale/decisions";
import { customerKey, type Milliseconds } from "@chalkdale/kernel";
import { type Log, startTimeout } from "@chalkdale/runtime";
import type { IncomingMessage } from "node:http";
import type { CallerExchange } from "../callers/caller-exchange.js";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { SharedState } from "../state/shared-state.js";
import { type ActiveRequest, createActiveRequest, type RequestOutcome, singleValue } from "./active-request.js";
import { createAnswerMemory } from "./answer-memory.js";
import { type AttemptLoopOptions, createAttemptLoop } from "./attempt-loop.js";
import { forwardAnswer, refusalAnswer } from "./caller-answers.js";
import { createQuotaAdmission, type QuotaAdmissionOptions } from "./quota-admission.js";
import { type BodyOutcome, readBody } from "./request-body.js";
import { createRequestLog, type UnadmittedRequest } from "./request-log.js";
import { hostOf, pathOf, urlOf } from "./request-target.js";
import { shouldCloseAfterRefusal, withUnreadBodyTimeout } from "./unread-body.js";

export interface RequestHandlerOptions extends AttemptLoopOptions {
    readonly random: () => number;
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly state: SharedState;
    /** Time since the store confirmed the copy of the configuration. */
    readonly configurationAge: () => Milliseconds;
    readonly copyAgeBounds: CopyAgeBounds;
    /** Returns the time after which the caller may retry; undefined if a retry cannot help. */
    readonly retryAfter: (active: ActiveRequest, refusal: RefusalKind) => Milliseconds | undefined;
    readonly quotas: QuotaAdmissionOptions["quotas"];
    /** Account of the memory of all bodies of the box. */
    readonly bodyMemory: BodyMemory;
}

/** Serves the requests of callers. */
export interface RequestHandler {
    readonly serve: (exchange: CallerExchange) => void;
    /**
     * True if the request may run more than once according to the configuration in force, or if no route matches it.
     */
    readonly isIdempotent: (request: IncomingMessage) => boolean;
}

/** Maximum size of a body in bytes, whatever the configuration allows; sized for boxes with 350 MB of memory. */
const maxBodySize = 16 * 1024 * 1024;

/** Creates the request handler of a box. */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const { clock, log, state } = options;
    const { headers } = options.protocol;
    const requestLog = createRequestLog(options);
    const admitByQuota = createQuotaAdmission({ headers, metrics: options.metrics, quotas: options.quotas });
    const callerRetryDetector = createCallerRetryDetector();
    const runAttempts = createAttemptLoop({ ...options, requestLog, isVerified });

    return {
        serve(exchange) {
            void handle(exchange).catch(error => {
                logFault(exchange, error);
                refuse(exchange, "internalFault");
            });
        },
        isIdempotent(request) {
            const route = state.routes()?.match(hostOf(request), pathOf(request));
            return route === undefined || isIdempotent(route);
        },
    };

    async function handle(exchange: CallerExchange): Promise<void> {
        const { request } = exchange;
        if (!await exchange.caller.confirm()) {
            requestLog.callerLeftUnread(describe(request), exchange.unreadFor);
            return;
        }
        const key = singleValue(request.headers[headers.customerKey]);
        const inForce = state.inForce();
        const admission = admit({
            routes: inForce?.routes,
            keys: inForce?.keys,
            isStateComplete: state.isComplete(),
            phase: options.phase(),
            timeToAnswer: options.timeToAnswer(),
            callerTimeout: Number(request.headers[headers.deadline]),
            expectedWork: options.workEstimate.maxExpected,
            host: hostOf(request),
            path: pathOf(request),
            key: key === undefined ? undefined : customerKey(key),
            configurationAge: options.configurationAge(),
            bounds: options.copyAgeBounds,
        });
        if (inForce === undefined || admission.kind === "refused") {
            const refusal = admission.kind === "refused" ? admission.refusal : "notReady";
            requestLog.notAdmitted(describe(request), refusal);
            refuse(exchange, refusal);
            return;
        }
        const { customer, route } = admission;
        const byQuota = customer && await admitByQuota(exchange, customer, route);
        switch (byQuota?.kind) {
            case "denied": {
                const { denial } = byQuota;
                requestLog.notAdmitted(
                    { ...describe(request), customer: customer?.id, quotaDenied: denial },
                    "quotaSpent",
                );
                refuse(exchange, "quotaSpent", denial.retryAfter);
                return;
            }
            case "callerLeft":
                requestLog.callerLeftUnread(describe(request), exchange.unreadFor);
                return;
            case "admitted":
            case undefined:
                await serveAdmitted(exchange, admission, inForce);
        }
    }

    /** `admittedBy`: the configuration by which the request was admitted, which may no longer be in force. */
    async function serveAdmitted(
        exchange: CallerExchange,
        { customer, route }: AdmittedRequest,
        admittedBy: ConfigurationInForce,
    ): Promise<void> {
        const { controller, request } = exchange;
        const active = createActiveRequest(request, headers, {
            route,
            configurationVersion: admittedBy.configuration.version,
            customer,
            isKeyRequired: admittedBy.keys.isKeyRequired,
            service: admittedBy.pickDestination(route),
            startedAt: exchange.arrivedAt,
            unreadFor: exchange.unreadFor,
            caller: exchange.caller,
            answerMemory: createAnswerMemory(clock, options.bodyMemory),
            sends: exchange.sends,
            callerRetryDetector,
            random: options.random,
        });
        let timedOut = false;
        const cancelTimeout = startTimeout(Math.max(0, active.deadlineAt - clock()), () => {
            timedOut = true;
            controller.abort();
        });
        options.retryBudgetOf(active.service).onRequest(exchange.arrivedAt);
        try {
            const outcome = await readBodyAndRun();
            finish(exchange, active, outcome.kind === "callerLeft" && timedOut ? timeoutOutcome(active) : outcome);
        }
        catch (error) {
            active.answerMemory.close();
            throw error;
        }
        finally {
            cancelTimeout();
        }

        async function readBodyAndRun(): Promise<RequestOutcome> {
            const { bodyMemory } = options;
            const { signal } = controller;
            const body = await readBody(exchange, {
                clock,
                maxBytes: Math.min(maxBodySize, admittedBy.configuration.limits.maxBodyBytes),
                memory: bodyMemory,
                signal,
            });
            if (body.kind !== "whole") {
                return outcomeWithoutBody(body.kind);
            }
            try {
                // The caller was confirmed before its body was read.
                if (body.body.length > 0 && !await exchange.caller.confirm()) {
                    return { kind: "callerLeft" };
                }
                return await runAttempts(active, body.body, controller);
            }
            finally {
                body.release();
            }
        }
    }

    function timeoutOutcome(active: ActiveRequest): RequestOutcome {
        return { kind: "refusal", refusal: active.sent > 0 ? "timedOut" : "timedOutUnsent" };
    }

    function finish(exchange: CallerExchange, active: ActiveRequest, outcome: RequestOutcome): void {
        switch (outcome.kind) {
            case "answer":
                finishAnswered(exchange, active, outcome.answer);
                return;
            case "refusal":
                finishRefused(exchange, active, decideRefusal(outcome.refusal, active.sends));
                return;
            case "callerLeft":
                active.answerMemory.close();
                requestLog.callerLeft(active);
                return;
        }
    }

    function finishRefused(exchange: CallerExchange, active: ActiveRequest, refusal: DecidedRefusal): void {
        const { kind } = refusal;
        if (active.customer !== undefined && guaranteesNotRun(kind)) {
            options.quotas.refund(active.customer);
        }
        active.answerMemory.close();
        requestLog.refused(active, kind);
        refuseCaller(exchange, refusal, options.retryAfter(active, kind));
    }

    function finishAnswered(exchange: CallerExchange, active: ActiveRequest, answer: ServerAnswer): void {
        const reason = reasonNotToForward(exchange, answer);
        const status = decideStatus(answer.status, active.sends);
        if (reason !== undefined || status === undefined) {
            finishRefused(exchange, active, decideRefusal(reason ?? "unprovenNotRun", active.sends));
            return;
        }
        requestLog.served(active, answer);
        exchange.respond(forwardAnswer({ ...answer, status }, {
            memory: active.answerMemory,
            callerWaits: () => clock() < active.callerWaitsUntil,
            onFault: error => logFault(exchange, error),
        }));
    }

    /** Returns why an answer can't be forwarded; undefined if it can. */
    function reasonNotToForward(exchange: CallerExchange, answer: ServerAnswer): RefusalKind | undefined {
        if (isSuccess(answer) && !isVerified(answer)) {
            return "unprovenAnswer";
        }
        return !answer.framed && exchange.hasStartedSuccessors() ? "unframedAnswer" : undefined;
    }

    /** A success must carry the server's stamp and have no content coding. */
    function isVerified(answer: ServerAnswer): boolean {
        return answer.headers[headers.serverStamp] !== undefined && answer.headers["content-encoding"] === undefined;
    }

    function describe(request: IncomingMessage): UnadmittedRequest {
        const copyAge = options.configurationAge();
        return { requestId: requestIdOf(request), host: hostOf(request), path: urlOf(request), copyAge };
    }

    function requestIdOf(request: IncomingMessage): string | undefined {
        return singleValue(request.headers[headers.requestId]);
    }

    function logFault({ request }: CallerExchange, error: unknown): void {
        const reason = error instanceof Error ? error.stack : String(error);
        log.error("request.fault", { request: requestIdOf(request), reason });
    }

    function refuse(exchange: CallerExchange, kind: RefusalKind, retryAfter?: Milliseconds): void {
        refuseCaller(exchange, decideRefusal(kind, exchange.sends), retryAfter);
    }

    function refuseCaller(exchange: CallerExchange, refusal: DecidedRefusal, retryAfter?: Milliseconds): void {
        const closesConnection = shouldCloseAfterRefusal(exchange.request);
        exchange.respond(
            withUnreadBodyTimeout(
                exchange.request,
                refusalAnswer(refusal, { retryAfter, closesConnection }),
            ),
        );
    }
}

function outcomeWithoutBody(kind: Exclude<BodyOutcome["kind"], "whole">): RequestOutcome {
    switch (kind) {
        case "tooLarge":
            return { kind: "refusal", refusal: "bodyTooLarge" };
        case "stalled":
            return { kind: "refusal", refusal: "bodyStalled" };
        case "noRoom":
            return { kind: "refusal", refusal: "bodiesFull" };
        case "cut":
            return { kind: "callerLeft" };
    }
}

function isSuccess(answer: ServerAnswer): boolean {
    return answer.status >= 200 && answer.status < 300;
}
