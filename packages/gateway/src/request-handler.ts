/**
 * One request of a caller from its head to its answer: route, body, server,
 * attempts, and the answer. Every request that is given up gets its answer at
 * once.
 */

import { type Clock, hashText, type Milliseconds, milliseconds, type ServerId, type ServiceId } from "@chalkdale/core";
import type { Log } from "@chalkdale/runtime";
import {
    type CatalogServer,
    type Choice,
    type ChoiceRequest,
    hashKey,
    isRepeatable,
    type RecentKeys,
    type RepeatBudget,
    type Route,
    type WorkEstimate,
} from "@chalkdale/steering";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AttemptOutcome, AttemptRequest } from "./attempt.js";
import type { CallerProtocol } from "./caller-protocol.js";
import type { ServerAnswer } from "./exchange.js";
import { passOnHeaders } from "./headers.js";
import type { GatewayMetrics } from "./metrics.js";
import { type RefusalKind, refusals } from "./refusals.js";
import { readBody } from "./request-body.js";
import type { SharedState } from "./shared-state.js";

export interface RequestHandlerOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    readonly protocol: CallerProtocol;
    readonly state: SharedState;
    readonly choose: (request: ChoiceRequest) => Choice;
    readonly attempt: (request: AttemptRequest) => Promise<AttemptOutcome>;
    readonly budgetOf: (service: ServiceId) => RepeatBudget;
    readonly recentKeys: RecentKeys;
    readonly work: WorkEstimate;
    readonly roundTrip: (server: CatalogServer) => Milliseconds;
    /** True once this box takes no new work. */
    readonly isClosing: () => boolean;
    /** True once callers should use other boxes. */
    readonly isLeaving: () => boolean;
}

/** Attempts that reach no server cost nothing but time; this many are made at most. */
const mostUnsentAttempts = 4;
/** Body bytes taken in at most, whatever the configuration allows. */
const largestBody = 16 * 1024 * 1024;
/** No attempt starts with less time than this left, in milliseconds. */
const leastTimeLeft = 20;

/** One request while it is served. */
interface ActiveRequest {
    readonly route: Route;
    readonly service: ServiceId;
    readonly keyHash: number;
    readonly requestId: string | undefined;
    readonly startedAt: Milliseconds;
    /** The earlier of the caller's deadline and the route's time limit. */
    readonly endsAt: number;
    readonly rawHeaders: readonly string[];
    readonly tried: Set<ServerId>;
    sent: number;
    unsent: number;
}

/** The end of a request: a server's answer, or the gateway's own. */
type Ending =
    | { readonly kind: "answer"; readonly answer: ServerAnswer; }
    | { readonly kind: "refusal"; readonly refusal: RefusalKind; }
    | { readonly kind: "callerLeft"; };

/** Returns the listener for requests of callers. */
export function createRequestHandler(options: RequestHandlerOptions) {
    const { clock, log, metrics, protocol, state } = options;
    const { headers } = protocol;
    const replacedHeaders = new Set([headers.deadline, headers.expectedServer]);

    return function onRequest(request: IncomingMessage, response: ServerResponse): void {
        void handle(request, response).catch(error => {
            log.error("request.fault", { reason: error instanceof Error ? error.stack : String(error) });
            refuse(response, "internalFault");
        });
    };

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const startedAt = clock();
        const routes = state.routes();
        if (routes === undefined || !state.isComplete()) {
            refuse(response, "notReady");
            return;
        }
        if (options.isClosing()) {
            refuse(response, "leaving");
            return;
        }
        const route = routes.match(request.headers.host ?? "", pathOf(request.url ?? "/"));
        if (route === undefined) {
            log.info("request.noRoute", { host: request.headers.host, path: request.url });
            refuse(response, "noRoute");
            return;
        }
        await serve(request, response, route, startedAt);
    }

    async function serve(
        request: IncomingMessage,
        response: ServerResponse,
        route: Route,
        startedAt: Milliseconds,
    ): Promise<void> {
        const active = activate(request, route, startedAt);
        const controller = new AbortController();
        let timedOut = false;
        const timer = setTimeout(() => {
            timedOut = true;
            controller.abort();
        }, Math.max(0, active.endsAt - startedAt));
        response.on("close", () => controller.abort());
        try {
            const body = await readBody(request, mostBodyBytes());
            if (body.kind === "tooLarge") {
                refuse(response, "bodyTooLarge");
                return;
            }
            if (body.kind === "cut") {
                return;
            }
            options.budgetOf(active.service).onRequest(clock());
            const ending = await runAttempts(active, request, body.body, controller.signal);
            finish(active, response, ending.kind === "callerLeft" && timedOut ? timeoutEnding(active) : ending);
        }
        finally {
            clearTimeout(timer);
        }
    }

    function activate(request: IncomingMessage, route: Route, startedAt: Milliseconds): ActiveRequest {
        const service = state.destinationOf(route);
        const deadline = Number(request.headers[headers.deadline]);
        const limit = Number.isFinite(deadline) && deadline > 0 ? Math.min(deadline, route.timeout) : route.timeout;
        const key = request.headers[headers.affinityKey];
        return {
            route,
            service,
            keyHash: typeof key === "string" && route.sticky
                ? hashKey(service, `${route.name} ${key}`)
                : hashText(String(options.random())),
            requestId: singleValue(request.headers[headers.requestId]),
            startedAt,
            endsAt: startedAt + limit,
            rawHeaders: passOnHeaders(request.rawHeaders, replacedHeaders),
            tried: new Set(),
            sent: 0,
            unsent: 0,
        };
    }

    function mostBodyBytes(): number {
        return Math.min(largestBody, state.configuration()?.limits.maxBodyBytes ?? largestBody);
    }

    async function runAttempts(
        active: ActiveRequest,
        request: IncomingMessage,
        body: Buffer,
        signal: AbortSignal,
    ): Promise<Ending> {
        let lastAnswer: ServerAnswer | undefined;
        let mayHaveRun = false;
        for (;;) {
            if (signal.aborted) {
                return { kind: "callerLeft" };
            }
            const choice = options.choose(choiceRequest(active));
            if (choice.kind !== "chosen") {
                return giveUp(active, lastAnswer, mayHaveRun, refusalOf(choice));
            }
            const outcome = await attemptOnce(active, choice, request, body, signal);
            switch (outcome.kind) {
                case "answered":
                    if (isFinal(active, outcome.answer)) {
                        return { kind: "answer", answer: outcome.answer };
                    }
                    lastAnswer = outcome.answer;
                    mayHaveRun = true;
                    break;
                case "cancelled":
                    return { kind: "callerLeft" };
                case "broken":
                    mayHaveRun = true;
                    logAttempt(active, choice.server.id, outcome.reason);
                    if (!isRepeatable(active.route)) {
                        return { kind: "refusal", refusal: "brokenOff" };
                    }
                    break;
                case "notRun":
                    logAttempt(active, choice.server.id, `not run, status ${outcome.status}`);
                    break;
                case "notSent":
                    logAttempt(active, choice.server.id, outcome.reason);
                    break;
            }
            const obstacle = obstacleToRepeat(active, outcome);
            if (obstacle !== undefined) {
                return giveUp(active, lastAnswer, mayHaveRun, obstacle);
            }
        }
    }

    function choiceRequest(active: ActiveRequest): ChoiceRequest {
        const at = clock();
        const timeLeft = milliseconds(active.endsAt - at);
        return {
            route: active.route,
            service: active.service,
            keyHash: active.keyHash,
            tried: active.tried,
            timeLeft,
            at,
        };
    }

    async function attemptOnce(
        active: ActiveRequest,
        choice: Choice & { readonly kind: "chosen"; },
        request: IncomingMessage,
        body: Buffer,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const { server } = choice;
        active.tried.add(server.id);
        const roundTrip = options.roundTrip(server);
        const sentCount = active.sent;
        const outcome = await options.attempt({
            route: active.route,
            service: active.service,
            server,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            rawHeaders: active.rawHeaders,
            body,
            requestId: active.requestId,
            timeLeft: () => milliseconds(active.endsAt - clock()),
            roundTrip,
            expected: choice.expected,
            signal,
            onSend: () => {
                active.sent += 1;
            },
            onServed: duration => learn(active, choice, duration),
        });
        if (active.sent === sentCount) {
            active.unsent += 1;
        }
        metrics.onAttempt(outcome.kind);
        return outcome;
    }

    function learn(active: ActiveRequest, choice: Choice & { readonly kind: "chosen"; }, duration: Milliseconds): void {
        const { id, standing } = choice.server;
        metrics.onServed(duration);
        standing.onAnswerTime(clock(), options.work.onMeasured(active.route, choice.warm, duration));
        options.recentKeys.add(id, active.keyHash, clock());
    }

    /** True if the answer ends the request; a failure of a request that can be repeated may not. */
    function isFinal(active: ActiveRequest, answer: ServerAnswer): boolean {
        return answer.status < 500 && isProven(answer) || !isRepeatable(active.route);
    }

    /** A success must carry the server's stamp, and a body in the coding that was asked for. */
    function isProven(answer: ServerAnswer): boolean {
        return answer.headers[headers.serverStamp] !== undefined && answer.headers["content-encoding"] === undefined;
    }

    /** Returns why the request may not be sent to another server, or undefined if it may. */
    function obstacleToRepeat(active: ActiveRequest, outcome: AttemptOutcome): RefusalKind | undefined {
        if (active.endsAt - clock() < leastTimeLeft) {
            return active.sent > 0 ? "timedOut" : "timedOutUnsent";
        }
        if (outcome.kind === "notSent") {
            return active.unsent >= mostUnsentAttempts ? "unreachable" : undefined;
        }
        if (active.sent >= active.route.maxAttempts) {
            return outcome.kind === "notRun" ? "serversFull" : "brokenOff";
        }
        return options.budgetOf(active.service).tryTake(clock()) ? undefined : "budgetSpent";
    }

    /** A refusal that promises that nothing ran is given only where nothing did. */
    function giveUp(
        active: ActiveRequest,
        lastAnswer: ServerAnswer | undefined,
        mayHaveRun: boolean,
        refusal: RefusalKind,
    ): Ending {
        if (lastAnswer !== undefined) {
            return { kind: "answer", answer: lastAnswer };
        }
        const isPromise = refusals[refusal].status === 503;
        return {
            kind: "refusal",
            refusal: mayHaveRun && isPromise && !isRepeatable(active.route) ? "brokenOff" : refusal,
        };
    }

    function timeoutEnding(active: ActiveRequest): Ending {
        return { kind: "refusal", refusal: active.sent > 0 ? "timedOut" : "timedOutUnsent" };
    }

    function finish(active: ActiveRequest, response: ServerResponse, ending: Ending): void {
        switch (ending.kind) {
            case "answer":
                logServed(active, ending.answer);
                passBack(active, response, ending.answer);
                return;
            case "refusal":
                logRefusal(active, ending.refusal);
                refuse(response, ending.refusal);
                return;
            case "callerLeft":
                metrics.onEnding(active.route.name, "callerLeft", clock() - active.startedAt);
                log.info("request.callerLeft", {
                    request: active.requestId,
                    route: active.route.name,
                    sent: active.sent,
                    after: Math.round(clock() - active.startedAt),
                });
                return;
        }
    }

    function passBack(active: ActiveRequest, response: ServerResponse, answer: ServerAnswer): void {
        const isSuccess = answer.status >= 200 && answer.status < 300;
        if (isSuccess && !isProven(answer)) {
            logRefusal(active, "unprovenAnswer");
            refuse(response, "unprovenAnswer");
            return;
        }
        response.sendDate = false;
        const back = passOnHeaders(answer.rawHeaders, new Set());
        response.useChunkedEncodingByDefault = false;
        if (answer.framed) {
            back.push("Content-Length", String(answer.body.length));
        }
        if (options.isLeaving() || !answer.framed) {
            response.shouldKeepAlive = false;
            back.push("Connection", "close");
        }
        response.writeHead(answer.status, back);
        response.end(answer.body);
    }

    function refuse(response: ServerResponse, kind: RefusalKind): void {
        if (response.headersSent || response.destroyed) {
            response.destroy();
            return;
        }
        const { status, retryAfter } = refusals[kind];
        response.sendDate = false;
        response.setHeader("Content-Length", "0");
        if (retryAfter !== undefined) {
            response.setHeader("Retry-After", String(retryAfter));
        }
        if (options.isLeaving()) {
            response.setHeader("Connection", "close");
        }
        response.writeHead(status).end();
    }

    function logAttempt(active: ActiveRequest, server: ServerId, reason: string): void {
        log.info("attempt.failed", {
            request: active.requestId,
            route: active.route.name,
            server,
            sent: active.sent,
            reason,
            timeLeft: Math.round(active.endsAt - clock()),
        });
    }

    function logServed(active: ActiveRequest, answer: ServerAnswer): void {
        const latency = clock() - active.startedAt;
        metrics.onEnding(active.route.name, String(answer.status), latency);
        log.info("request.served", {
            request: active.requestId,
            route: active.route.name,
            status: answer.status,
            tried: [...active.tried].join(","),
            after: Math.round(latency),
            version: state.configuration()?.version,
        });
    }

    function logRefusal(active: ActiveRequest, refusal: RefusalKind): void {
        metrics.onEnding(active.route.name, refusal, clock() - active.startedAt);
        log.info("request.refused", {
            request: active.requestId,
            route: active.route.name,
            refusal,
            sent: active.sent,
            tried: [...active.tried].join(",") || undefined,
            after: Math.round(clock() - active.startedAt),
            timeLeft: Math.round(active.endsAt - clock()),
            version: state.configuration()?.version,
            servers: state.replica("servers").revision(),
        });
    }
}

function refusalOf(choice: Exclude<Choice, { readonly kind: "chosen"; }>): RefusalKind {
    switch (choice.kind) {
        case "noServer":
            return "noServer";
        case "allCold":
            return "serversCold";
        case "tooLate":
            return "tooLate";
    }
}

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

function singleValue(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
