/**
 * Observes attempts as evidence for or against the version of their server: a
 * success with its duration, a failure, or no evidence.
 *
 * Refusals because of load, and connections that failed or had been idle for too
 * long, are no evidence. An attempt that takes several times as long as expected
 * is reported at that moment and not at its end: the slow answers of a slow version
 * arrive last, and until then only its fast ones would count.
 *
 * Owns a timer for each attempt at a service with a trial.
 */

import {
    type BackendServer,
    type ChosenServer,
    earlyReportSlowness,
    isFailureStatus,
    overdueThreshold,
    type TrialAnswer,
    type WorkEstimate,
} from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { startTimeout } from "@chalkdale/runtime";
import type { TrialHooks } from "../rollouts/trials.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { ActiveRequest } from "./active-request.js";
import type { AttemptOutcome } from "./attempt-request.js";

/** An attempt under observation. */
export interface ObservedAttempt {
    /** The request is about to be sent. */
    readonly onSent: () => void;
    /** The server answered with a success after `duration`, without the round trip. */
    readonly onServed: (duration: Milliseconds) => void;
    /** The attempt ended, whether or not it was sent. */
    readonly onEnded: (outcome: AttemptOutcome) => void;
}

export interface AttemptObserverOptions {
    readonly clock: Clock;
    readonly trials: TrialHooks;
    readonly workEstimate: WorkEstimate;
    readonly roundTrip: (server: BackendServer) => Milliseconds;
    /** True if a success carries the server's stamp and has no content coding. */
    readonly isVerified: (answer: ServerAnswer) => boolean;
}

/** HTTP 504 Gateway Timeout: the deadline passed at the server, which is a failure only of an overdue request. */
const statusDeadline = 504;

/** Observer of attempts at a service without a trial: does nothing. */
const unobserved: ObservedAttempt = { onSent: () => undefined, onServed: () => undefined, onEnded: () => undefined };

/** Returns the function that begins to observe an attempt; called before the attempt is made. */
export function createAttemptObserver(
    options: AttemptObserverOptions,
): (active: ActiveRequest, choice: ChosenServer) => ObservedAttempt {
    const { clock, trials, workEstimate } = options;

    return function observeAttempt({ route, service }, { server, expectedAtNormalSpeed, wait, warm }) {
        if (!trials.hasTrial(service)) {
            return unobserved;
        }
        const wasCold = server.state.isCold(clock());
        let sentAt: Milliseconds | undefined;
        let slowness: number | undefined;
        let isReported = false;
        let cancelTimeout: (() => void) | undefined;
        return {
            onSent() {
                sentAt = clock();
                trials.onSent(service, server);
                const reportAfter = workEstimate.durationAtSlowness(route, warm, earlyReportSlowness, wait)
                    + options.roundTrip(server);
                cancelTimeout = startTimeout(
                    reportAfter,
                    () => report({ isFailure: false, slowness: earlyReportSlowness }),
                );
            },
            onServed(duration) {
                slowness = workEstimate.slownessOf(route, warm, duration, wait);
            },
            onEnded(outcome) {
                cancelTimeout?.();
                if (sentAt === undefined) {
                    return;
                }
                trials.onEnded(service, server);
                const isOverdue = clock() - sentAt >= overdueThreshold(expectedAtNormalSpeed);
                const evidence = evidenceOf(outcome, isOverdue, slowness);
                if (evidence !== undefined) {
                    report(evidence);
                }
            },
        };

        function report(evidence: Evidence): void {
            if (!isReported) {
                isReported = true;
                trials.onAnswer(service, { server, routeName: route.name, wasCold, ...evidence });
            }
        }
    };

    function evidenceOf(
        outcome: AttemptOutcome,
        isOverdue: boolean,
        slowness: number | undefined,
    ): Evidence | undefined {
        switch (outcome.kind) {
            case "notSent":
            case "notRun":
                return undefined;
            case "broken":
                return outcome.wasStaleConnection ? undefined : failure;
            case "cancelled":
                return isOverdue ? failure : undefined;
            case "answered":
                return outcome.requestsBackoff === true
                    ? undefined
                    : evidenceOfAnswer(outcome.answer, isOverdue, slowness);
        }
    }

    function evidenceOfAnswer(
        answer: ServerAnswer,
        isOverdue: boolean,
        slowness: number | undefined,
    ): Evidence | undefined {
        if (slowness !== undefined) {
            return options.isVerified(answer) ? { isFailure: false, slowness } : failure;
        }
        const isExcused = answer.status === statusDeadline && !isOverdue;
        return isFailureStatus(answer.status) && !isExcused ? failure : undefined;
    }
}

type Evidence = Pick<TrialAnswer, "isFailure" | "slowness">;

const failure: Evidence = { isFailure: true, slowness: 1 };
