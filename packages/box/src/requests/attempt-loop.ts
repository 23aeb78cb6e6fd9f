/**
 * Sends a request to one server after the other until it has an answer, or may
 * not be sent again.
 */

import {
    type BackendServer,
    type Choice,
    type ChoiceRequest,
    isIdempotent,
    type RecentKeys,
    type RefusalKind,
    refusals,
    type RetryBudget,
    type WorkEstimate,
} from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { BoxMetrics } from "../metrics.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { ActiveRequest, Ending } from "./active-request.js";
import type { AttemptOutcome, AttemptRequest } from "./attempt.js";
import type { RequestLog } from "./request-log.js";

export interface AttemptLoopOptions {
    readonly clock: Clock;
    readonly metrics: BoxMetrics;
    readonly choose: (request: ChoiceRequest) => Choice;
    readonly attempt: (request: AttemptRequest) => Promise<AttemptOutcome>;
    readonly budgetOf: (service: ServiceId) => RetryBudget;
    readonly recentKeys: RecentKeys;
    readonly work: WorkEstimate;
    readonly roundTrip: (server: BackendServer) => Milliseconds;
}

/** The loop's other needs. */
export interface AttemptLoopContext {
    readonly requestLog: RequestLog;
    /** True if an answer is the server's own and in the coding that was asked for. */
    readonly isVerified: (answer: ServerAnswer) => boolean;
}

/** Attempts that reach no server cost nothing but time; this many are made at most. */
const mostUnsentAttempts = 4;
/** No attempt starts with less time than this left, in milliseconds. */
const leastTimeLeft = 20;

/** Runs the attempts of one request. Never rejects. */
export type AttemptLoop = (active: ActiveRequest, body: Buffer, signal: AbortSignal) => Promise<Ending>;

/** Creates the loop. */
export function createAttemptLoop(options: AttemptLoopOptions & AttemptLoopContext): AttemptLoop {
    const { clock, metrics, requestLog } = options;

    return async function runAttempts(active, body, signal) {
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
            const outcome = await attemptOnce(active, choice, body, signal);
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
                    requestLog.attemptFailed(active, choice.server.id, outcome.reason);
                    if (!isIdempotent(active.route)) {
                        return { kind: "refusal", refusal: "brokenOff" };
                    }
                    break;
                case "notRun":
                    requestLog.attemptFailed(active, choice.server.id, `not run, status ${outcome.status}`);
                    break;
                case "notSent":
                    requestLog.attemptFailed(active, choice.server.id, outcome.reason);
                    break;
            }
            const obstacle = obstacleToRepeat(active, outcome);
            if (obstacle !== undefined) {
                return giveUp(active, lastAnswer, mayHaveRun, obstacle);
            }
        }
    };

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
            method: active.method,
            path: active.path,
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
        const { id, state } = choice.server;
        metrics.onServed(duration);
        state.onAnswerTime(clock(), options.work.onMeasured(active.route, choice.warm, duration));
        options.recentKeys.add(id, active.keyHash, clock());
    }

    /** True if the answer ends the request; a failure of a request that can be repeated may not. */
    function isFinal(active: ActiveRequest, answer: ServerAnswer): boolean {
        return answer.status < 500 && options.isVerified(answer) || !isIdempotent(active.route);
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
            refusal: mayHaveRun && isPromise && !isIdempotent(active.route) ? "brokenOff" : refusal,
        };
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
