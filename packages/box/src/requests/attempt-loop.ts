/**
 * Sends a request to one server after the other until it has a final answer, or
 * may not be sent again.
 *
 * Applies the choice of a server and the decisions on retries and hedging; owns the
 * attempts of one request.
 */

import {
    type AttemptEnd,
    type Choice,
    type ChoiceRequest,
    type ChosenServer,
    combinedPriority,
    decideHedge,
    decideRetry,
    type HedgeInputs,
    isFinalAnswer,
    isIdempotent,
    mayBeHedged,
    mayBeSentWhileLeaving,
    type RefusalKind,
    type RetryBudget,
    type RetryInputs,
    type ShutdownPhase,
} from "@chalkdale/decisions";
import { type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { PoisonRequestGuard, TrackedRequest } from "../poison-requests/poison-request-guard.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { ActiveRequest, RequestOutcome } from "./active-request.js";
import type { AttemptOutcome } from "./attempt-request.js";
import { attemptHedged, type EndedAttempt } from "./hedged-attempt.js";
import { fingerprintOf } from "./request-fingerprint.js";
import type { RequestLog } from "./request-log.js";
import { createSingleAttempt, type SingleAttemptOptions } from "./single-attempt.js";

export interface AttemptLoopOptions extends Omit<SingleAttemptOptions, "isVerified"> {
    readonly choose: (request: ChoiceRequest) => Choice;
    readonly retryBudgetOf: (service: ServiceId) => Pick<RetryBudget, "onRequest" | "tryConsume">;
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: (service: ServiceId) => number;
    readonly poisonRequestGuard: Pick<PoisonRequestGuard, "track">;
    /** True while this box reaches no server, neither directly nor through other boxes. */
    readonly isIsolated: () => boolean;
    readonly phase: () => ShutdownPhase;
    /** Time in which the box can still answer; infinite while it runs. */
    readonly timeToAnswer: () => Milliseconds;
}

/** What the request handler passes to the loop besides its own options. */
export interface AttemptLoopDependencies extends Pick<SingleAttemptOptions, "isVerified"> {
    readonly requestLog: RequestLog;
}

/** Runs the attempts of one request; `controller` aborts them. Never rejects. */
export type AttemptLoop = (active: ActiveRequest, body: Buffer, controller: AbortController) => Promise<RequestOutcome>;

/** Creates the loop that makes the attempts of a box's requests. */
export function createAttemptLoop(options: AttemptLoopOptions & AttemptLoopDependencies): AttemptLoop {
    const { clock, requestLog, trials } = options;
    const attemptOnce = createSingleAttempt(options);

    return async function runAttempts(active, body, controller) {
        // Tracked by its content: by its id alone, each repeat of a poison request would be a new request to every box.
        const tracked = options.poisonRequestGuard.track(active, body, controller);
        try {
            return await tryServers(active, body, tracked, controller.signal);
        }
        finally {
            tracked.end();
        }
    };

    async function tryServers(
        active: ActiveRequest,
        body: Buffer,
        tracked: TrackedRequest,
        signal: AbortSignal,
    ): Promise<RequestOutcome> {
        for (;;) {
            const permission = await tracked.waitForPermission();
            if (permission === "refuse") {
                return giveUp(active, "endsServers");
            }
            if (permission === "callerLeft") {
                return { kind: "callerLeft" };
            }
            const isFirstAttempt = active.sent + active.notSent === 0;
            // Before the first attempt the caller was confirmed just now, unless the request had to wait.
            if ((!isFirstAttempt || tracked.isExcludedFromHedging()) && !await active.caller.confirm()) {
                return tracked.isStopped() ? giveUp(active, "endsServers") : { kind: "callerLeft" };
            }
            // It may have waited since it was admitted: for its quota, its body, a permission, or another attempt.
            if (options.phase() !== "running" && !canAnswer(active)) {
                return giveUp(active, "leaving");
            }
            if (options.isIsolated()) {
                return giveUp(active, "noPath");
            }
            const choice = (isFirstAttempt ? chooseForTrial(active) : undefined)
                ?? options.choose(choiceRequest(active, false));
            if (choice.kind !== "chosen") {
                active.excluded = choice.kind === "noServer" ? choice.excluded : undefined;
                return giveUp(active, refusalOf(choice));
            }
            const ended = await attemptWithHedge(active, choice, body, tracked, signal);
            const { outcome } = ended;
            if (outcome.kind === "cancelled") {
                return tracked.isStopped() ? giveUp(active, "endsServers") : { kind: "callerLeft" };
            }
            recordOutcome(active, body, ended);
            if (mayRetrySameServer(active, ended.choice, outcome)) {
                active.tried.delete(ended.choice.server.id);
            }
            const decision = decideRetry(attemptEndOf(outcome), retryInputs(active));
            if (decision.kind === "giveUp") {
                return giveUp(active, decision.refusal);
            }
            if (decision.kind === "finalAnswer" && outcome.kind === "answered") {
                return { kind: "answer", answer: outcome.answer };
            }
        }
    }

    function canAnswer(active: ActiveRequest): boolean {
        return mayBeSentWhileLeaving({
            phase: options.phase(),
            timeToAnswer: options.timeToAnswer(),
            timeLimit: milliseconds(active.deadlineAt - clock()),
            expectedWork: options.workEstimate.maxExpected(active.route),
            mayHaveRun: active.sends.mayHaveRun(),
        });
    }

    /**
     * True once for a server that refused the request although it has free slots: it accepts the next attempt as likely
     * as any other server does, and at another server the key would be cold and the answer late.
     */
    function mayRetrySameServer(active: ActiveRequest, { server }: ChosenServer, outcome: AttemptOutcome): boolean {
        if (outcome.kind !== "notRun" || !outcome.hasFreeSlots || active.retriedSameServer) {
            return false;
        }
        active.retriedSameServer = true;
        return active.tried.has(server.id);
    }

    /**
     * Returns a server of the trial version if the request is assigned to the trial; called for its first attempt only.
     * If there is no such server now, the request is served like others.
     */
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
            allowedRegions: active.allowedRegions,
            tried: active.tried,
            timeLeft: milliseconds(active.deadlineAt - at),
            isCallerRetry: active.isCallerRetry,
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
            timeLeft: milliseconds(active.deadlineAt - clock()),
            consumeRetry: () =>
                options.retryBudgetOf(active.service).tryConsume(
                    clock(),
                    combinedPriority(active.route, active.customer),
                ),
        };
    }

    /** `beforeFirst`: counts the attempt that is about to be made as sent. */
    function hedgeInputs(active: ActiveRequest, { beforeFirst = false } = {}): HedgeInputs {
        const inputs = retryInputs(active);
        return {
            ...inputs,
            sent: beforeFirst ? inputs.sent + 1 : inputs.sent,
            loadPerSlot: options.loadPerSlot(active.service),
            chooseSecond: () => options.choose(choiceRequest(active, false)),
        };
    }

    function attemptEndOf(outcome: Exclude<AttemptOutcome, { readonly kind: "cancelled"; }>): AttemptEnd {
        if (outcome.kind !== "answered") {
            return { kind: outcome.kind };
        }
        return { kind: "answered", ...describeAnswer(outcome.answer) };
    }

    function describeAnswer(answer: ServerAnswer) {
        return { status: answer.status, isVerified: options.isVerified(answer) };
    }

    /** Makes an attempt, and a hedged one beside it if it becomes overdue and the hedge decision allows it. */
    async function attemptWithHedge(
        active: ActiveRequest,
        choice: ChosenServer,
        body: Buffer,
        tracked: TrackedRequest,
        signal: AbortSignal,
    ): Promise<EndedAttempt> {
        if (!mayBeHedged(hedgeInputs(active, { beforeFirst: true }))) {
            return { choice, outcome: await attempt(choice, signal) };
        }
        return attemptHedged(choice, signal, {
            attemptOnce: attempt,
            confirmCaller: active.caller.confirm,
            chooseSecond: () => {
                const second = tracked.isExcludedFromHedging() ? undefined : decideHedge(hedgeInputs(active));
                if (second !== undefined) {
                    requestLog.hedged(active, choice.server.id, second.server.id);
                }
                return second;
            },
            isFinal: outcome =>
                outcome.kind === "answered"
                && isFinalAnswer(describeAnswer(outcome.answer), isIdempotent(active.route)),
            onFirstFailure: ended => recordOutcome(active, body, ended),
        });

        async function attempt(at: ChosenServer, attemptSignal: AbortSignal): Promise<AttemptOutcome> {
            const outcome = await attemptOnce(active, at, body, attemptSignal);
            tracked.onAttemptEnded(at.server, outcome);
            return outcome;
        }
    }

    function recordOutcome(active: ActiveRequest, body: Buffer, { choice, outcome }: EndedAttempt): void {
        logFailure(active, body, choice, outcome);
        active.latestChoice = choice;
        // Of two concurrent attempts, the one that ends the request need not be the one that was made last.
        active.latestVersion &&= choice.server.state.record().version;
        active.lastAnswer = outcome.kind === "answered" ? outcome.answer : active.lastAnswer;
    }

    function logFailure(active: ActiveRequest, body: Buffer, choice: ChosenServer, outcome: AttemptOutcome): void {
        switch (outcome.kind) {
            case "answered":
            case "cancelled":
                return;
            case "broken":
                requestLog.attemptFailed(active, choice.server.id, outcome.reason, fingerprintOf(active, body));
                return;
            case "notSent":
                requestLog.attemptFailed(active, choice.server.id, outcome.reason);
                return;
            case "notRun":
                requestLog.attemptFailed(active, choice.server.id, `not run, status ${outcome.status}`);
                return;
        }
    }
}

/** Ends a request without a final answer: with the latest failure of a server if there is one, else with a refusal. */
function giveUp(active: ActiveRequest, refusal: RefusalKind): RequestOutcome {
    active.noFurtherAttempt = refusal;
    if (active.lastAnswer !== undefined) {
        return { kind: "answer", answer: active.lastAnswer };
    }
    return { kind: "refusal", refusal };
}

function refusalOf(choice: Exclude<Choice, { readonly kind: "chosen"; }>): RefusalKind {
    switch (choice.kind) {
        case "noServer":
            return "noServer";
        case "allCold":
            return "serversCold";
        case "allLimited":
            return "serversLimited";
        case "allBackedOff":
            return "serversBackedOff";
        case "tooLate":
            return "tooLate";
        case "crowded":
            return "crowded";
    }
}
