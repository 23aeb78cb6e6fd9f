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
    decideHedge,
    decideRetry,
    type HedgeInputs,
    isFailureStatus,
    isIdempotent,
    isSuccessStatus,
    mayBeHedged,
    type MovedBytes,
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
import { attemptHedged, type EndedAttempt } from "./hedged-attempt.js";
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
    readonly movedBytes: Pick<MovedBytes, "onMoved">;
    readonly roundTrip: (server: BackendServer) => Milliseconds;
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: (service: ServiceId) => number;
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
        for (;;) {
            if (signal.aborted) {
                return { kind: "callerLeft" };
            }
            const isFirstTry = active.sent + active.notSent === 0;
            const choice = (isFirstTry ? chooseForTrial(active) : undefined)
                ?? options.choose(choiceRequest(active, false));
            if (choice.kind !== "chosen") {
                return giveUp(active, refusalOf(choice));
            }
            const ended = await attemptOnceOrTwice(active, choice, body, signal);
            const { outcome } = ended;
            if (outcome.kind === "cancelled") {
                return { kind: "callerLeft" };
            }
            noteEnd(active, ended);
            if (mayAskAgain(active, ended.choice, outcome)) {
                active.tried.delete(ended.choice.server.id);
            }
            const decision = decideRetry(endOf(outcome), retryInputs(active));
            if (decision.kind === "giveUp") {
                return giveUp(active, decision.refusal);
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

    /** `beforeFirst`: the attempt that is about to be made counts as sent. */
    function hedgeInputs(active: ActiveRequest, { beforeFirst = false } = {}): HedgeInputs {
        const inputs = retryInputs(active);
        return {
            ...inputs,
            sent: beforeFirst ? inputs.sent + 1 : inputs.sent,
            loadPerSlot: options.loadPerSlot(active.service),
            chooseSecond: () => options.choose(choiceRequest(active, false)),
        };
    }

    function endOf(outcome: Exclude<AttemptOutcome, { readonly kind: "cancelled"; }>): AttemptEnd {
        if (outcome.kind !== "answered") {
            return { kind: outcome.kind };
        }
        const { answer } = outcome;
        return { kind: "answered", status: answer.status, isVerified: options.isVerified(answer) };
    }

    /** A request that may be repeated gets a second server beside one that is overdue, where that helps. */
    async function attemptOnceOrTwice(
        active: ActiveRequest,
        choice: ChosenServer,
        body: Buffer,
        signal: AbortSignal,
    ): Promise<EndedAttempt> {
        if (!mayBeHedged(hedgeInputs(active, { beforeFirst: true }))) {
            return { choice, outcome: await attemptOnce(active, choice, body, signal) };
        }
        return attemptHedged(choice, signal, {
            attemptOnce: (at, attemptSignal) => attemptOnce(active, at, body, attemptSignal),
            secondChoice: () => {
                const second = decideHedge(hedgeInputs(active));
                if (second !== undefined) {
                    requestLog.hedged(active, choice.server.id, second.server.id);
                }
                return second;
            },
            isFinal: outcome =>
                outcome.kind === "answered" && !isFailureStatus(outcome.answer.status)
                && options.isVerified(outcome.answer),
            onFailedBeside: ended => noteEnd(active, ended),
        });
    }

    function noteEnd(active: ActiveRequest, { choice, outcome }: EndedAttempt): void {
        logFailure(active, choice, outcome);
        active.latestChoice = choice;
        active.mayHaveRun ||= outcome.kind === "broken";
        active.lastAnswer = outcome.kind === "answered" ? outcome.answer : active.lastAnswer;
    }

    async function attemptOnce(
        active: ActiveRequest,
        choice: ChosenServer,
        body: Buffer,
        signal: AbortSignal,
    ): Promise<AttemptOutcome> {
        const { server } = choice;
        const isTrial = trials.isOnTrial(active.service, server);
        let isSent = false;
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
                isSent = true;
                options.work.onSent(active.service, active.route);
                watched.onSent();
            },
            onServed(duration) {
                watched.onServed(duration);
                learn(active, choice, duration);
            },
        });
        watched.onEnded(outcome);
        if (!isSent) {
            active.notSent += 1;
            if (isTrial) {
                trials.onNotSent(active.service);
            }
        }
        metrics.onAttempt(outcome.kind);
        if (outcome.kind === "answered" && isSuccessStatus(outcome.answer.status)) {
            options.movedBytes.onMoved(active.route, body.length + outcome.answer.body.length);
        }
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
function giveUp(active: ActiveRequest, refusal: RefusalKind): Ending {
    if (active.lastAnswer !== undefined) {
        return { kind: "answer", answer: active.lastAnswer };
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
