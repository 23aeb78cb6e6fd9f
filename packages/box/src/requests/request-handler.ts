/**
 * One request of a caller from its head to its answer: admission, body,
 * attempts, and the answer. Every request that is given up gets its answer at
 * once.
 *
 * Owns the request's time limit and its end when the caller leaves; relies on
 * the admission and the attempt loop for what is decided.
 */

import {
    admit,
    type AdmittedRequest,
    type BodyMemory,
    type CopyAgeBounds,
    createReturningCallers,
    promisesNotRun,
    type RefusalKind,
    type StopPhase,
} from "@chalkdale/decisions";
import { customerKey, type Milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerProtocol } from "../callers/caller-protocol.js";
import type { CustomerQuotas } from "../quotas/customer-quotas.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { SharedState } from "../state/shared-state.js";
import { activateRequest, type ActiveRequest, type Ending, singleValue } from "./active-request.js";
import { type AttemptLoopOptions, createAttemptLoop } from "./attempt-loop.js";
import { passBack, refuse } from "./caller-answers.js";
import { type BodyOutcome, readBody } from "./request-body.js";
import { createRequestLog, type UnservedRequest } from "./request-log.js";
import { isEnding, leaveBodyUnread } from "./unread-body.js";

export interface RequestHandlerOptions extends AttemptLoopOptions {
    readonly random: () => number;
    readonly log: Log;
    readonly protocol: CallerProtocol;
    readonly state: SharedState;
    readonly phase: () => StopPhase;
    /** Time since the store confirmed the copy of the configuration. */
    readonly configurationAge: () => Milliseconds;
    readonly copyAgeBounds: CopyAgeBounds;
    /** When the caller of a request may come back; undefined when that cannot help. */
    readonly comeBackAfter: (active: ActiveRequest, refusal: RefusalKind) => Milliseconds | undefined;
    readonly quotas: Pick<CustomerQuotas, "take" | "giveBack">;
    /** Of all bodies that the box holds. */
    readonly bodyMemory: BodyMemory;
}

/** Listener for requests of callers. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Bytes of a body that are taken in at most, whatever the configuration allows: a box has 350 MB. Not measured. */
const largestBody = 16 * 1024 * 1024;

/** Returns the listener for requests of callers. */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const { clock, log, state } = options;
    const { headers } = options.protocol;
    const requestLog = createRequestLog(options);
    const returningCallers = createReturningCallers();
    const runAttempts = createAttemptLoop({ ...options, requestLog, isVerified });

    return function onRequest(request, response) {
        if (isEnding(request.socket)) {
            return;
        }
        void handle(request, response).catch(error => {
            const reason = error instanceof Error ? error.stack : String(error);
            log.error("request.fault", { request: requestIdOf(request), reason });
            refuseCaller(request, response, "internalFault");
        });
    };

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const startedAt = clock();
        const host = request.headers.host ?? "";
        const url = request.url ?? "/";
        const key = singleValue(request.headers[headers.customerKey]);
        const admission = admit({
            routes: state.routes(),
            keys: state.keys(),
            isComplete: state.isComplete(),
            phase: options.phase(),
            host,
            path: pathOf(url),
            key: key === undefined ? undefined : customerKey(key),
            configurationAge: options.configurationAge(),
            bounds: options.copyAgeBounds,
        });
        if (admission.kind === "refused") {
            requestLog.notAdmitted(describe(), admission.refusal);
            refuseCaller(request, response, admission.refusal);
            return;
        }
        const { customer } = admission;
        const comeBackAfter = customer && options.quotas.take(customer);
        if (comeBackAfter !== undefined) {
            requestLog.notAdmitted({ ...describe(), customer: customer?.id }, "quotaSpent");
            refuseCaller(request, response, "quotaSpent", comeBackAfter);
            return;
        }
        await serve(request, response, admission, startedAt);

        function describe(): UnservedRequest {
            return { requestId: requestIdOf(request), host, path: url, copyAge: options.configurationAge() };
        }
    }

    async function serve(
        request: IncomingMessage,
        response: ServerResponse,
        { customer, route }: AdmittedRequest,
        startedAt: Milliseconds,
    ): Promise<void> {
        const { random } = options;
        const active = activateRequest(request, headers, {
            route,
            customer,
            isKeyed: state.keys()?.isKeyNeeded ?? false,
            service: state.destinationOf(route),
            startedAt,
            returningCallers,
            random,
        });
        const controller = new AbortController();
        let timedOut = false;
        const timer = setTimeout(() => {
            timedOut = true;
            controller.abort();
        }, Math.max(0, active.endsAt - startedAt));
        response.on("close", () => controller.abort());
        options.budgetOf(active.service).onRequest(startedAt);
        try {
            const ending = await readAndRun();
            const isOverdue = ending.kind === "callerLeft" && timedOut;
            finish(active, request, response, isOverdue ? timeoutEnding(active) : ending);
        }
        finally {
            clearTimeout(timer);
        }

        async function readAndRun(): Promise<Ending> {
            const { bodyMemory } = options;
            const { signal } = controller;
            const body = await readBody(request, response, {
                clock,
                mostBytes: mostBodyBytes(),
                memory: bodyMemory,
                signal,
            });
            if (body.kind !== "whole") {
                return endingWithoutBody(body.kind);
            }
            try {
                return await runAttempts(active, body.body, signal);
            }
            finally {
                body.release();
            }
        }
    }

    function mostBodyBytes(): number {
        return Math.min(largestBody, state.configuration()?.limits.maxBodyBytes ?? largestBody);
    }

    function timeoutEnding(active: ActiveRequest): Ending {
        return { kind: "refusal", refusal: active.sent > 0 ? "timedOut" : "timedOutUnsent" };
    }

    function finish(
        active: ActiveRequest,
        request: IncomingMessage,
        response: ServerResponse,
        ending: Ending,
    ): void {
        switch (ending.kind) {
            case "answer":
                if (isSuccess(ending.answer) && !isVerified(ending.answer)) {
                    requestLog.refused(active, "unprovenAnswer");
                    refuseCaller(request, response, "unprovenAnswer");
                    return;
                }
                requestLog.served(active, ending.answer);
                passBack(response, ending.answer, isLeaving());
                return;
            case "refusal":
                if (active.customer !== undefined && promisesNotRun(ending.refusal)) {
                    options.quotas.giveBack(active.customer);
                }
                requestLog.refused(active, ending.refusal);
                refuseCaller(request, response, ending.refusal, options.comeBackAfter(active, ending.refusal));
                return;
            case "callerLeft":
                requestLog.callerLeft(active);
                return;
        }
    }

    /** A success must carry the server's stamp, and a body in the coding that was asked for. */
    function isVerified(answer: ServerAnswer): boolean {
        return answer.headers[headers.serverStamp] !== undefined && answer.headers["content-encoding"] === undefined;
    }

    function requestIdOf(request: IncomingMessage): string | undefined {
        return singleValue(request.headers[headers.requestId]);
    }

    /** True once callers should use other boxes. */
    function isLeaving(): boolean {
        return options.phase() !== "running";
    }

    function refuseCaller(
        request: IncomingMessage,
        response: ServerResponse,
        kind: RefusalKind,
        comeBackAfter?: Milliseconds,
    ): void {
        const isLast = leaveBodyUnread(request, response) || isLeaving();
        refuse(response, kind, { isLast, comeBackAfter });
    }
}

function endingWithoutBody(kind: Exclude<BodyOutcome["kind"], "whole">): Ending {
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

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

function isSuccess(answer: ServerAnswer): boolean {
    return answer.status >= 200 && answer.status < 300;
}
