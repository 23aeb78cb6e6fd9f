/**
 * Watches a try for what it says of the version of its server: a success with
 * its time, a failure, or nothing.
 *
 * Refusals for the load, and connections that were never up or had rested too
 * long, say nothing of a version. A try that takes several times as long as
 * expected is told then, not at its end: the slow answers of a slow version would
 * come last, and its quick ones count alone until then.
 *
 * Owns a timer for each try of a service with a trial.
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
import type { TrialHooks } from "../rollouts/trials.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { ActiveRequest } from "./active-request.js";
import type { AttemptOutcome } from "./attempt-request.js";

/** A try whose end is awaited. */
export interface ObservedAttempt {
    /** The request is about to be sent. */
    readonly onSent: () => void;
    /** The server gave a success after so long, without the way there and back. */
    readonly onServed: (duration: Milliseconds) => void;
    /** The try ended, sent or not. */
    readonly onEnded: (outcome: AttemptOutcome) => void;
}

export interface AttemptObserverOptions {
    readonly clock: Clock;
    readonly trials: TrialHooks;
    readonly workEstimate: WorkEstimate;
    readonly roundTrip: (server: BackendServer) => Milliseconds;
    /** True if a success is the server's own and in the coding that was asked for. */
    readonly isVerified: (answer: ServerAnswer) => boolean;
}

/** HTTP's status of a server whose request ran out of time: its fault only once it is overdue. */
const statusDeadline = 504;

/** What a try of a service without a trial is watched by. */
const unwatched: ObservedAttempt = { onSent: () => undefined, onServed: () => undefined, onEnded: () => undefined };

/** Returns the function that watches a try which is about to be made. */
export function createAttemptObserver(
    options: AttemptObserverOptions,
): (active: ActiveRequest, choice: ChosenServer) => ObservedAttempt {
    const { clock, trials, workEstimate: work } = options;

    return function watchTry({ route, service }, { server, expectedAtNormalSpeed: usual, wait, warm }) {
        if (!trials.hasTrial(service)) {
            return unwatched;
        }
        const wasCold = server.state.isCold(clock());
        let sentAt: Milliseconds | undefined;
        let slowness: number | undefined;
        let isTold = false;
        let timer: NodeJS.Timeout | undefined;
        return {
            onSent() {
                sentAt = clock();
                trials.onSent(service, server);
                const tellAfter = work.durationAtSlowness(route, warm, earlyReportSlowness, wait)
                    + options.roundTrip(server);
                timer = setTimeout(() => tell({ isFailure: false, slowness: earlyReportSlowness }), tellAfter);
            },
            onServed(duration) {
                slowness = work.slownessOf(route, warm, duration, wait);
            },
            onEnded(outcome) {
                clearTimeout(timer);
                if (sentAt === undefined) {
                    return;
                }
                trials.onEnded(service, server);
                const isOverdue = clock() - sentAt >= overdueThreshold(usual);
                const evidence = evidenceOf(outcome, isOverdue, slowness);
                if (evidence !== undefined) {
                    tell(evidence);
                }
            },
        };

        function tell(evidence: Evidence): void {
            if (!isTold) {
                isTold = true;
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
