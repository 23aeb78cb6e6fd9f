/**
 * One request of a caller from its head to its answer: admission, body,
 * attempts, and the answer. Every request that is given up gets its answer at
 * once.
 *
 * Owns the request's time limit; relies on the admission and the attempt loop for
 * what is decided, and on the request's turn for its end when the caller leaves.
 */

import {
    admit,
    type AdmittedRequest,
    type BodyMemory,
    type CopyAgeBounds,
    createCallerRetryDetector,
    isIdempotent,
    promisesNotRun,
    type RefusalKind,
    type ShutdownPhase,
} from "@chalkdale/decisions";
import { customerKey, type Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { IncomingMessage } from "node:http";
import type { CallerExchange } from "../callers/caller-exchange.js";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { CustomerQuotas } from "../quotas/customer-quotas.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { SharedState } from "../state/shared-state.js";
import { type ActiveRequest, createActiveRequest, type RequestOutcome, singleValue } from "./active-request.js";
import { type AttemptLoopOptions, createAttemptLoop } from "./attempt-loop.js";
import { forwardAnswer, refusalAnswer } from "./caller-answers.js";
import { type BodyOutcome, readBody } from "./request-body.js";
import { createRequestLog, type UnadmittedRequest } from "./request-log.js";
import { hostOf, pathOf, urlOf } from "./request-target.js";
import { shouldCloseAfterRefusal, withUnreadBodyTimeout } from "./unread-body.js";

export interface RequestHandlerOptions extends AttemptLoopOptions {
    readonly random: () => number;
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly state: SharedState;
    readonly phase: () => ShutdownPhase;
    /** Time since the store confirmed the copy of the configuration. */
    readonly configurationAge: () => Milliseconds;
    readonly copyAgeBounds: CopyAgeBounds;
    /** When the caller of a request may come back; undefined when that cannot help. */
    readonly retryAfter: (active: ActiveRequest, refusal: RefusalKind) => Milliseconds | undefined;
    readonly quotas: Pick<CustomerQuotas, "consume" | "refund">;
    /** Of all bodies that the box holds. */
    readonly bodyMemory: BodyMemory;
}

/** Serves the requests of callers. */
export interface RequestHandler {
    readonly serve: (turn: CallerExchange) => void;
    /** True if a request may run more than once, by the configuration in force. */
    readonly isIdempotent: (request: IncomingMessage) => boolean;
}

/** Bytes of a body that are taken in at most, whatever the configuration allows: a box has 350 MB. */
const largestBody = 16 * 1024 * 1024;

/** Creates the handler of requests. */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const { clock, log, state } = options;
    const { headers } = options.protocol;
    const requestLog = createRequestLog(options);
    const returningCallers = createCallerRetryDetector();
    const runAttempts = createAttemptLoop({ ...options, requestLog, isVerified });

    return {
        serve(turn) {
            void handle(turn).catch(error => {
                logFault(turn, error);
                refuseCaller(turn, "internalFault");
            });
        },
        isIdempotent(request) {
            const route = state.routes()?.match(hostOf(request), pathOf(request));
            return route === undefined || isIdempotent(route);
        },
    };

    async function handle(turn: CallerExchange): Promise<void> {
        const { request } = turn;
        const key = singleValue(request.headers[headers.customerKey]);
        const admission = admit({
            routes: state.routes(),
            keys: state.keys(),
            isStateComplete: state.isComplete(),
            phase: options.phase(),
            host: hostOf(request),
            path: pathOf(request),
            key: key === undefined ? undefined : customerKey(key),
            configurationAge: options.configurationAge(),
            bounds: options.copyAgeBounds,
        });
        if (admission.kind === "refused") {
            requestLog.notAdmitted(describe(request), admission.refusal);
            refuseCaller(turn, admission.refusal);
            return;
        }
        const { customer } = admission;
        const quotaDenied = customer && options.quotas.consume(customer);
        if (quotaDenied !== undefined) {
            requestLog.notAdmitted({ ...describe(request), customer: customer?.id, quotaDenied }, "quotaSpent");
            refuseCaller(turn, "quotaSpent", quotaDenied.retryAfter);
            return;
        }
        await serveAdmitted(turn, admission);
    }

    async function serveAdmitted(turn: CallerExchange, { customer, route }: AdmittedRequest): Promise<void> {
        const { controller, request } = turn;
        const active = createActiveRequest(request, headers, {
            route,
            customer,
            isKeyRequired: state.keys()?.isKeyRequired ?? false,
            service: state.pickDestination(route),
            startedAt: turn.arrivedAt,
            callerRetryDetector: returningCallers,
            random: options.random,
        });
        let timedOut = false;
        const timer = setTimeout(() => {
            timedOut = true;
            controller.abort();
        }, Math.max(0, active.deadlineAt - clock()));
        options.retryBudgetOf(active.service).onRequest(turn.arrivedAt);
        try {
            const ending = await readAndRun();
            finish(turn, active, ending.kind === "callerLeft" && timedOut ? timeoutEnding(active) : ending);
        }
        finally {
            clearTimeout(timer);
        }

        async function readAndRun(): Promise<RequestOutcome> {
            const { bodyMemory } = options;
            const { signal } = controller;
            const body = await readBody(turn, {
                clock,
                maxBytes: mostBodyBytes(),
                memory: bodyMemory,
                signal,
            });
            if (body.kind !== "whole") {
                return endingWithoutBody(body.kind);
            }
            try {
                return await runAttempts(active, body.body, controller);
            }
            finally {
                body.release();
            }
        }
    }

    function mostBodyBytes(): number {
        return Math.min(largestBody, state.configuration()?.limits.maxBodyBytes ?? largestBody);
    }

    function timeoutEnding(active: ActiveRequest): RequestOutcome {
        return { kind: "refusal", refusal: active.sent > 0 ? "timedOut" : "timedOutUnsent" };
    }

    function finish(turn: CallerExchange, active: ActiveRequest, ending: RequestOutcome): void {
        switch (ending.kind) {
            case "answer":
                finishAnswered(turn, active, ending.answer);
                return;
            case "refusal":
                if (active.customer !== undefined && promisesNotRun(ending.refusal)) {
                    options.quotas.refund(active.customer);
                }
                requestLog.refused(active, ending.refusal);
                refuseCaller(turn, ending.refusal, options.retryAfter(active, ending.refusal));
                return;
            case "callerLeft":
                requestLog.callerLeft(active);
                return;
        }
    }

    function finishAnswered(turn: CallerExchange, active: ActiveRequest, answer: ServerAnswer): void {
        const refusal = refusalOfAnswer(turn, answer);
        if (refusal !== undefined) {
            requestLog.refused(active, refusal);
            refuseCaller(turn, refusal);
            return;
        }
        requestLog.served(active, answer);
        turn.respond(forwardAnswer(answer, error => logFault(turn, error)));
    }

    /** Why an answer can't be passed back; undefined if it can. */
    function refusalOfAnswer(turn: CallerExchange, answer: ServerAnswer): RefusalKind | undefined {
        if (isSuccess(answer) && !isVerified(answer)) {
            return "unprovenAnswer";
        }
        return !answer.framed && turn.hasStartedSuccessors() ? "unframedAnswer" : undefined;
    }

    /** A success must carry the server's stamp, and a body in the coding that was asked for. */
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

    function refuseCaller(turn: CallerExchange, kind: RefusalKind, comeBackAfter?: Milliseconds): void {
        const endsConnection = shouldCloseAfterRefusal(turn.request);
        turn.respond(
            withUnreadBodyTimeout(
                turn.request,
                refusalAnswer(kind, { retryAfter: comeBackAfter, closesConnection: endsConnection }),
            ),
        );
    }
}

function endingWithoutBody(kind: Exclude<BodyOutcome["kind"], "whole">): RequestOutcome {
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
