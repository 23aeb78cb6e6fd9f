/**
 * One attempt, and a second one beside it once the first is overdue. The first
 * good answer counts, and ends the other attempt.
 *
 * Owns both attempts until one of them has decided; relies on the hedge decision
 * for whether there is a second one.
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
    /** The second server, now that the first is overdue; undefined if the request goes on waiting. */
    readonly secondChoice: () => ChosenServer | undefined;
    /** True for an outcome that ends the request. */
    readonly isFinal: (outcome: AttemptOutcome) => boolean;
    /** One of two attempts failed while the other goes on. */
    readonly onFirstFailure: (ended: EndedAttempt) => void;
}

/** An attempt that can be ended by itself. */
interface RunningAttempt {
    readonly ended: Promise<EndedAttempt>;
    readonly cancel: () => void;
}

/** Attempts a request at a server, and at a second one where that helps. Rejects only if the choice of the second one throws. */
export async function attemptHedged(
    choice: ChosenServer,
    signal: AbortSignal,
    options: HedgedAttemptOptions,
): Promise<EndedAttempt> {
    const first = start(choice, signal, options);
    const early = await endedWithin(first, overdueThreshold(choice.expectedAtNormalSpeed));
    if (early !== undefined) {
        return early;
    }
    const secondChoice = chooseSecond(first, options);
    if (secondChoice === undefined) {
        return first.ended;
    }
    const second = start(secondChoice, signal, options);
    return firstToDecide(first, second, options);
}

function start(choice: ChosenServer, signal: AbortSignal, options: HedgedAttemptOptions): RunningAttempt {
    const controller = new AbortController();
    const outcome = options.attemptOnce(choice, AbortSignal.any([signal, controller.signal]));
    return {
        ended: outcome.then(ended => ({ choice, outcome: ended })),
        cancel: () => controller.abort(),
    };
}

/** An attempt whose outcome nobody takes must not run on. */
function chooseSecond(first: RunningAttempt, options: HedgedAttemptOptions): ChosenServer | undefined {
    try {
        return options.secondChoice();
    }
    catch (error) {
        first.cancel();
        throw error;
    }
}

/** Returns how the attempt ended, or undefined if it goes on for longer than `duration` milliseconds. */
async function endedWithin({ ended }: RunningAttempt, duration: number): Promise<EndedAttempt | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const overdue = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), duration);
    });
    const early = await Promise.race([ended, overdue]);
    clearTimeout(timer);
    return early;
}

async function firstToDecide(
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
