/**
 * Sends a request to one server after the other until it has an answer, or may
 * not be sent again.
 *
 * Carries out the choice of a server and the decision on retries; owns the
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
    isFailureStatus,
    isIdempotent,
    mayBeHedged,
    refusalAfterRun,
    type RefusalKind,
    type RetryBudget,
    type RetryInputs,
} from "@chalkdale/decisions";
import { milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { PoisonRequestGuard, TrackedRequest } from "../poison-requests/poison-request-guard.js";
import type { ActiveRequest, RequestOutcome } from "./active-request.js";
import type { AttemptOutcome } from "./attempt-request.js";
import { attemptHedged, type EndedAttempt } from "./hedged-attempt.js";
import { fingerprintOf } from "./request-fingerprint.js";
import type { RequestLog } from "./request-log.js";
import { createSingleAttempt, type SingleAttemptOptions } from "./single-attempt.js";

export interface AttemptLoopOptions extends Omit<SingleAttemptOptions, "isVerified"> {
    readonly choose: (request: ChoiceRequest) => Choice;
    readonly retryBudgetOf: (service: ServiceId) => RetryBudget;
    /** Requests at the service's servers for each of their slots; see `ServiceLoad`. */
    readonly loadPerSlot: (service: ServiceId) => number;
    readonly poisonRequestGuard: Pick<PoisonRequestGuard, "track">;
}

/** The loop's other needs. */
export interface AttemptLoopDependencies extends Pick<SingleAttemptOptions, "isVerified"> {
    readonly requestLog: RequestLog;
}

/** Runs the attempts of one request; `controller` ends them. Never rejects. */
export type AttemptLoop = (active: ActiveRequest, body: Buffer, controller: AbortController) => Promise<RequestOutcome>;

/** Creates the loop. */
export function createAttemptLoop(options: AttemptLoopOptions & AttemptLoopDependencies): AttemptLoop {
    const { clock, requestLog, trials } = options;
    const attemptOnce = createSingleAttempt(options);

    return async function runAttempts(active, body, controller) {
        // Known by what it asks for: by its id alone each repeat of a request that ends servers is a new one to each box.
        const followed = options.poisonRequestGuard.track(active, body, controller);
        try {
            return await tryServers(active, body, followed, controller.signal);
        }
        finally {
            followed.end();
        }
    };

    async function tryServers(
        active: ActiveRequest,
        body: Buffer,
        followed: TrackedRequest,
        signal: AbortSignal,
    ): Promise<RequestOutcome> {
        for (;;) {
            const clearance = await followed.waitForPermission();
            if (clearance === "refuse") {
                return giveUpStopped(active);
            }
            if (clearance === "callerLeft") {
                return { kind: "callerLeft" };
            }
            const isFirstTry = active.sent + active.notSent === 0;
            const choice = (isFirstTry ? chooseForTrial(active) : undefined)
                ?? options.choose(choiceRequest(active, false));
            if (choice.kind !== "chosen") {
                return giveUp(active, refusalOf(choice));
            }
            const ended = await attemptOnceOrTwice(active, choice, body, followed, signal);
            const { outcome } = ended;
            if (outcome.kind === "cancelled") {
                return followed.isStopped() ? giveUpStopped(active) : { kind: "callerLeft" };
            }
            noteEnd(active, body, ended);
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
    }

    /** Attempts that were ended under way may have run. */
    function giveUpStopped(active: ActiveRequest): RequestOutcome {
        active.mayHaveRun ||= active.sent > 0;
        return giveUp(active, "endsServers");
    }

    /**
     * True once for a server that turned the request away though it has free slots: it knows the key, and takes the next try as
     * likely as any other server, where the work would be cold and its answer late.
     */
    function mayAskAgain(active: ActiveRequest, { server }: ChosenServer, outcome: AttemptOutcome): boolean {
        if (outcome.kind !== "notRun" || !outcome.hasFreeSlots || active.retriedSameServer) {
            return false;
        }
        active.retriedSameServer = true;
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
        followed: TrackedRequest,
        signal: AbortSignal,
    ): Promise<EndedAttempt> {
        if (!mayBeHedged(hedgeInputs(active, { beforeFirst: true }))) {
            return { choice, outcome: await attempt(choice, signal) };
        }
        return attemptHedged(choice, signal, {
            attemptOnce: attempt,
            secondChoice: () => {
                const second = followed.isSuspect() ? undefined : decideHedge(hedgeInputs(active));
                if (second !== undefined) {
                    requestLog.hedged(active, choice.server.id, second.server.id);
                }
                return second;
            },
            isFinal: outcome =>
                outcome.kind === "answered" && !isFailureStatus(outcome.answer.status)
                && options.isVerified(outcome.answer),
            onFirstFailure: ended => noteEnd(active, body, ended),
        });

        async function attempt(at: ChosenServer, attemptSignal: AbortSignal): Promise<AttemptOutcome> {
            const outcome = await attemptOnce(active, at, body, attemptSignal);
            followed.onAttemptEnded(at.server, outcome);
            return outcome;
        }
    }

    function noteEnd(active: ActiveRequest, body: Buffer, { choice, outcome }: EndedAttempt): void {
        logFailure(active, body, choice, outcome);
        active.latestChoice = choice;
        // Of two attempts the one that ends the request may not be the one that was made last.
        active.latestVersion &&= choice.server.state.record().version;
        active.mayHaveRun ||= outcome.kind === "broken";
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

/** A failure that a server gave goes back before a refusal of the box's own, which must not promise what isn't known. */
function giveUp(active: ActiveRequest, refusal: RefusalKind): RequestOutcome {
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
