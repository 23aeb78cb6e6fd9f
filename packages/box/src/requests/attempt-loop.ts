/**
 * Sends a request to one server after the other until it has an answer, or may
 * not be sent again.
 *
 * Carries out the choice of a server and the decision on retries; owns the
 * attempts of one request.
 */

import {
    type AttemptEnd,
    type BackendServer,
    type Choice,
    type ChoiceRequest,
    type ChosenServer,
    decideRetry,
    isIdempotent,
    type RecentKeys,
    refusalAfterRun,
    type RefusalKind,
    type RetryBudget,
    type RetryInputs,
    urgencyOf,
    type WorkEstimate,
} from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { BoxMetrics } from "../metrics.js";
import type { TrialRequests } from "../rollouts/trials.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { ActiveRequest, Ending } from "./active-request.js";
import type { AttemptOutcome, AttemptRequest } from "./attempt-request.js";
import type { RequestLog } from "./request-log.js";
import { createTryWatch } from "./watched-try.js";

export interface AttemptLoopOptions {
    readonly clock: Clock;
    readonly metrics: BoxMetrics;
    readonly choose: (request: ChoiceRequest) => Choice;
    readonly attempt: (request: AttemptRequest) => Promise<AttemptOutcome>;
    readonly budgetOf: (service: ServiceId) => RetryBudget;
    readonly recentKeys: RecentKeys;
    readonly work: WorkEstimate;
    readonly roundTrip: (server: BackendServer) => Milliseconds;
    readonly trials: TrialRequests;
}

/** The loop's other needs. */
export interface AttemptLoopContext {
    readonly requestLog: RequestLog;
    /** True if an answer is the server's own and in the coding that was asked for. */
    readonly isVerified: (answer: ServerAnswer) => boolean;
}

/** Runs the attempts of one request. Never rejects. */
export type AttemptLoop = (active: ActiveRequest, body: Buffer, signal: AbortSignal) => Promise<Ending>;

/** Creates the loop. */
export function createAttemptLoop(options: AttemptLoopOptions & AttemptLoopContext): AttemptLoop {
    const { clock, metrics, requestLog, trials } = options;
    const watchTry = createTryWatch(options);

    return async function runAttempts(active, body, signal) {
        let lastAnswer: ServerAnswer | undefined;
        for (;;) {
            if (signal.aborted) {
                return { kind: "callerLeft" };
            }
            const isFirstTry = active.sent + active.notSent === 0;
            const trial = isFirstTry ? chooseForTrial(active) : undefined;
            const choice = trial ?? options.choose(choiceRequest(active, false));
            if (choice.kind !== "chosen") {
                return giveUp(active, lastAnswer, refusalOf(choice));
            }
            const outcome = await attemptOnce(active, choice, body, signal);
            if (trial !== undefined && active.sent === 0) {
                trials.onNotSent(active.service);
            }
            if (outcome.kind === "cancelled") {
                return { kind: "callerLeft" };
            }
            logFailure(active, choice, outcome);
            active.mayHaveRun ||= outcome.kind === "broken";
            if (mayAskAgain(active, choice, outcome)) {
                active.tried.delete(choice.server.id);
            }
            lastAnswer = outcome.kind === "answered" ? outcome.answer : lastAnswer;
            const decision = decideRetry(endOf(outcome), retryInputs(active));
            if (decision.kind === "giveUp") {
                return giveUp(active, lastAnswer, decision.refusal);
            }
            if (decision.kind === "finalAnswer" && outcome.kind === "answered") {
                return { kind: "answer", answer: outcome.answer };
            }
        }
    };

    /**
     * True once for a server that turned the request away though it has free slots: it knows the key, and takes the next try as
     * likely as any other server, where the work would be cold and its answer late.
     */
    function mayAskAgain(active: ActiveRequest, { server }: ChosenServer, outcome: AttemptOutcome): boolean {
        if (outcome.kind !== "notRun" || !outcome.hasRoom || active.askedAgain) {
            return false;
        }
        active.askedAgain = true;
        return active.tried.has(server.id);
    }

    /** A trial's server for a request at its first try. One that finds none goes where other requests go, at once. */
    function chooseForTrial(active: ActiveRequest): ChosenServer | undefined {
        if (!trials.assign(active.service, active.route)) {
            return undefined;
        }
        const choice = options.choose(choiceRequest(active, true));
        if (choice.kind === "chosen") {
            return choice;
        }
        trials.onNotSent(active.service);
        return undefined;
    }

    function choiceRequest(active: ActiveRequest, isTrial: boolean): ChoiceRequest {
        const at = clock();
        return {
            route: active.route,
            service: active.service,
            keyHash: active.keyHash,
            homes: active.homes,
            tried: active.tried,
            timeLeft: milliseconds(active.endsAt - at),
            isReturning: active.isReturning,
            isTrial,
            at,
        };
    }

    function retryInputs(active: ActiveRequest): RetryInputs {
        return {
            isIdempotent: isIdempotent(active.route),
            maxAttempts: active.route.maxAttempts,
            sent: active.sent,
            notSent: active.notSent,
            timeLeft: milliseconds(active.endsAt - clock()),
            takeRetry: () =>
                options.budgetOf(active.service).tryTake(clock(), urgencyOf(active.route, active.customer)),
        };
    }

    function endOf(outcome: Exclude<AttemptOutcome, { readonly kind: "cancelled"; }>): AttemptEnd {
        if (outcome.kind !== "answered") {
            return { kind: outcome.kind };
        }
        const { answer } = outcome;
        return { kind: "answered", status: answer.status, isVerified: options.isVerified(answer) };
    }

    async function attemptOnce(
        active: ActiveRequest,
        choice: ChosenServer,
        body: Buffer,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const { server } = choice;
        const sentBefore = active.sent;
        const watched = watchTry(active, choice);
        active.tried.add(server.id);
        active.latestChoice = choice;
        active.latestVersion = trials.hasTrial(active.service) ? server.state.record().version : undefined;
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
            roundTrip: options.roundTrip(server),
            expected: choice.usual,
            signal,
            onSend: () => {
                active.sent += 1;
                watched.onSent();
            },
            onServed(duration) {
                watched.onServed(duration);
                learn(active, choice, duration);
            },
        });
        watched.onEnded(outcome);
        if (active.sent === sentBefore) {
            active.notSent += 1;
        }
        metrics.onAttempt(outcome.kind);
        return outcome;
    }

    function learn(active: ActiveRequest, choice: ChosenServer, duration: Milliseconds): void {
        const { id, state } = choice.server;
        metrics.onServed(duration);
        options.recentKeys.add(id, active.keyHash, clock());
        if (trials.isOnTrial(active.service, choice.server)) {
            return;
        }
        state.onAnswerTime(clock(), options.work.onMeasured(active.route, choice.warm, duration));
    }

    function logFailure(active: ActiveRequest, choice: ChosenServer, outcome: AttemptOutcome): void {
        switch (outcome.kind) {
            case "answered":
            case "cancelled":
                return;
            case "broken":
            case "notSent":
                requestLog.attemptFailed(active, choice.server.id, outcome.reason);
                return;
            case "notRun":
                requestLog.attemptFailed(active, choice.server.id, `not run, status ${outcome.status}`);
                return;
        }
    }
}

/** A failure that a server gave goes back before a refusal of the box's own, which must not promise what isn't known. */
function giveUp(active: ActiveRequest, lastAnswer: ServerAnswer | undefined, refusal: RefusalKind): Ending {
    if (lastAnswer !== undefined) {
        return { kind: "answer", answer: lastAnswer };
    }
    return { kind: "refusal", refusal: active.mayHaveRun ? refusalAfterRun(refusal) : refusal };
}

function refusalOf(choice: Exclude<Choice, { readonly kind: "chosen"; }>): RefusalKind {
    switch (choice.kind) {
        case "noServer":
            return "noServer";
        case "allCold":
            return "serversCold";
        case "tooLate":
            return "tooLate";
        case "crowded":
            return "crowded";
    }
}
