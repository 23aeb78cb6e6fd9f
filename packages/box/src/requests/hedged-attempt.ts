/**
 * An attempt that is hedged with a second one once it is overdue. The first final
 * answer wins, and aborts the other attempt.
 *
 * Owns both attempts until the outcome is known; relies on the hedge decision for
 * whether there is a second one.
 */

import { type ChosenServer, overdueThreshold } from "@chalkdale/decisions";
import type { AttemptOutcome } from "./attempt-request.js";

/** How an attempt at a chosen server ended. */
export interface EndedAttempt {
    readonly choice: ChosenServer;
    readonly outcome: AttemptOutcome;
}

export interface HedgedAttemptOptions {
    readonly attemptOnce: (choice: ChosenServer, signal: AbortSignal) => Promise<AttemptOutcome>;
    /** Resolves with false if the caller has left, once everything was read that has arrived from it. */
    readonly confirmCaller: () => Promise<boolean>;
    /** Chooses the second server, once the first attempt is overdue; undefined if the request keeps waiting. */
    readonly chooseSecond: () => ChosenServer | undefined;
    /** True for an outcome that ends the request. */
    readonly isFinal: (outcome: AttemptOutcome) => boolean;
    /** Called when one of two attempts has failed and the other continues. */
    readonly onFirstFailure: (ended: EndedAttempt) => void;
}

/** An attempt that can be cancelled on its own. */
interface RunningAttempt {
    readonly ended: Promise<EndedAttempt>;
    readonly cancel: () => void;
}

/**
 * Makes an attempt, and a second one if the first is overdue and a second server is chosen. Rejects only if
 * `chooseSecond` throws.
 */
export async function attemptHedged(
    choice: ChosenServer,
    signal: AbortSignal,
    options: HedgedAttemptOptions,
): Promise<EndedAttempt> {
    const first = startAttempt(choice, signal, options);
    const endedInTime = await endedWithin(first, overdueThreshold(choice.expectedAtNormalSpeed));
    if (endedInTime !== undefined) {
        return endedInTime;
    }
    const endedMeanwhile = await Promise.race([first.ended, options.confirmCaller().then(() => undefined)]);
    if (endedMeanwhile !== undefined || signal.aborted) {
        return endedMeanwhile ?? first.ended;
    }
    const secondChoice = chooseSecond(first, options);
    if (secondChoice === undefined) {
        return first.ended;
    }
    const second = startAttempt(secondChoice, signal, options);
    return raceAttempts(first, second, options);
}

function startAttempt(choice: ChosenServer, signal: AbortSignal, options: HedgedAttemptOptions): RunningAttempt {
    const controller = new AbortController();
    const outcome = options.attemptOnce(choice, AbortSignal.any([signal, controller.signal]));
    return {
        ended: outcome.then(ended => ({ choice, outcome: ended })),
        cancel: () => controller.abort(),
    };
}

/** Chooses the second server. If that throws, cancels the first attempt, since nothing would handle its outcome. */
function chooseSecond(first: RunningAttempt, options: HedgedAttemptOptions): ChosenServer | undefined {
    try {
        return options.chooseSecond();
    }
    catch (error) {
        first.cancel();
        throw error;
    }
}

/** Resolves with the end of the attempt, or with undefined if it takes longer than `duration` milliseconds. */
async function endedWithin({ ended }: RunningAttempt, duration: number): Promise<EndedAttempt | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const overdue = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), duration);
    });
    const endedInTime = await Promise.race([ended, overdue]);
    clearTimeout(timer);
    return endedInTime;
}

/** Resolves with the attempt that ends first if its outcome is final or cancelled, else with the other one. */
async function raceAttempts(
    first: RunningAttempt,
    second: RunningAttempt,
    options: HedgedAttemptOptions,
): Promise<EndedAttempt> {
    const { attempt, other } = await Promise.race([
        first.ended.then(attempt => ({ attempt, other: second })),
        second.ended.then(attempt => ({ attempt, other: first })),
    ]);
    if (attempt.outcome.kind === "cancelled" || options.isFinal(attempt.outcome)) {
        other.cancel();
        return attempt;
    }
    options.onFirstFailure(attempt);
    return other.ended;
}
