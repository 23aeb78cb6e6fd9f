/**
 * Watches an attempt that has been sent, and aborts it once it turns out that no answer will come.
 *
 * Owns the timer and the signal of one attempt.
 */

import { startTimeout } from "@chalkdale/runtime";

/** The watch over one attempt. */
export interface OverdueCheck {
    /** Aborted once no answer will come. */
    readonly signal: AbortSignal;
    /** Aborts the attempt at once. */
    readonly abort: () => void;
    /** Ends the watch. */
    readonly end: () => void;
}

/**
 * Milliseconds between two checks of an attempt whose answer is overdue; long, because each check opens a new
 * connection.
 */
const checkInterval = 1000;

/**
 * Starts the watch. `hasEnded` is asked from `overdueAfter` milliseconds on: true if no answer will come. It never
 * rejects.
 */
export function startOverdueCheck(overdueAfter: number, hasEnded: () => Promise<boolean>): OverdueCheck {
    const controller = new AbortController();
    let cancelTimeout = startTimeout(overdueAfter, () => void check());
    let isStopped = false;
    return {
        signal: controller.signal,
        abort: () => controller.abort(),
        end() {
            isStopped = true;
            cancelTimeout();
        },
    };

    async function check(): Promise<void> {
        if (await hasEnded() && !isStopped) {
            controller.abort();
        }
        else if (!isStopped) {
            cancelTimeout = startTimeout(checkInterval, () => void check());
        }
    }
}
