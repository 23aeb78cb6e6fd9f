/**
 * One attempt of a request at a chosen server: updates the counts of the request, and
 * the estimates that this box learns from the outcome.
 *
 * Owns nothing; relies on `attempt` for the connection, and on the attempt observer
 * for what the outcome says about the server's version.
 */

import {
    type BackendServer,
    type ChosenServer,
    isIdempotent,
    isSuccessStatus,
    type RecentKeys,
    timeLeftAtServer,
    type TransferSizes,
    type WorkEstimate,
} from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { BoxMetrics } from "../metrics.js";
import type { TrialHooks } from "../rollouts/trials.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { RecentSends } from "../servers/recent-sends.js";
import type { ActiveRequest } from "./active-request.js";
import { createAttemptObserver } from "./attempt-observer.js";
import type { AttemptOutcome, AttemptRequest } from "./attempt-request.js";

export interface SingleAttemptOptions {
    readonly clock: Clock;
    readonly metrics: BoxMetrics;
    readonly attempt: (request: AttemptRequest) => Promise<AttemptOutcome>;
    readonly recentKeys: RecentKeys;
    readonly workEstimate: WorkEstimate;
    readonly transferSizes: Pick<TransferSizes, "onTransferred">;
    readonly roundTrip: (server: BackendServer) => Milliseconds;
    readonly trials: TrialHooks;
    readonly recentSends: RecentSends;
    /** Time since the store confirmed the list of servers. */
    readonly serversAge: () => Milliseconds;
    /** True if an answer carries the server's stamp and has no content coding. */
    readonly isVerified: (answer: ServerAnswer) => boolean;
}

/** Makes one attempt. Two attempts of one request may run concurrently. Never rejects. */
export type SingleAttempt = (
    active: ActiveRequest,
    choice: ChosenServer,
    body: Buffer,
    signal: AbortSignal,
) => Promise<AttemptOutcome>;

/** Returns the function that makes single attempts. */
export function createSingleAttempt(options: SingleAttemptOptions): SingleAttempt {
    const { clock, metrics, trials } = options;
    const observeAttempt = createAttemptObserver(options);

    return async function attemptOnce(active, choice, body, signal) {
        const { server } = choice;
        const isTrial = trials.isOnTrial(active.service, server);
        const chosenAt = clock();
        const listAge = options.serversAge();
        let isSent = false;
        const observed = observeAttempt(active, choice);
        active.tried.add(server.id);
        active.latestChoice = choice;
        active.latestVersion = trials.hasTrial(active.service) ? server.state.record().version : undefined;
        const outcome = await options.attempt({
            isIdempotent: isIdempotent(active.route),
            allowedRegions: active.allowedRegions,
            service: active.service,
            server,
            method: active.method,
            path: active.path,
            rawHeaders: active.rawHeaders,
            body,
            requestId: active.requestId,
            timeLeft: () => timeLeftAtServer(milliseconds(active.deadlineAt - clock()), active.unreadFor),
            roundTrip: options.roundTrip(server),
            expected: choice.expectedAtNormalSpeed,
            signal,
            answerMemory: active.answerMemory,
            sends: active.sends,
            caller: {
                isConfirmed: active.caller.isConfirmed,
                confirm: async () => await active.caller.confirm() && !signal.aborted,
            },
            onSend: () => {
                active.sent += 1;
                active.sentAt = clock();
                isSent = true;
                metrics.onSent(active.sentAt - active.startedAt + active.unreadFor);
                options.workEstimate.onSent(active.service, active.route);
                observed.onSent();
                options.recentSends.add(server.id, {
                    requestId: active.requestId,
                    chosenAt,
                    sentAt: clock(),
                    listAge,
                });
            },
            onServed(duration) {
                observed.onServed(duration);
                learnFromSuccess(active, choice, duration);
            },
        });
        observed.onEnded(outcome);
        if (!isSent) {
            active.notSent += 1;
            if (isTrial) {
                trials.onNotSent(active.service);
            }
        }
        metrics.onAttempt(outcome.kind);
        if (outcome.kind === "answered" && isSuccessStatus(outcome.answer.status)) {
            options.transferSizes.onTransferred(active.route, body.length + outcome.answer.body.length);
        }
        return outcome;
    };

    function learnFromSuccess(active: ActiveRequest, choice: ChosenServer, duration: Milliseconds): void {
        const { id, state } = choice.server;
        metrics.onServed(duration);
        options.recentKeys.add(id, active.keyHash, clock());
        if (trials.isOnTrial(active.service, choice.server)) {
            return;
        }
        state.onAnswerTime(clock(), options.workEstimate.onMeasured(active.route, choice.warm, duration));
    }
}
