/**
 * The planned stop of an entry program.
 */

import type { Clock, Router } from "@chalkdale/core";
import { type Log, sleep } from "@chalkdale/runtime";

export interface PlannedStopOptions {
    readonly router: Router;
    readonly clock: Clock;
    readonly log: Log;
    /** Tells others that the box is leaving. */
    readonly announce: () => Promise<void>;
    readonly signal: AbortSignal;
}

const pollInterval = 50;
const reportInterval = 10_000;

/**
 * Refuses new work, and resolves when the last request in flight has ended
 * and no caller can hold an answer that names this box any more.
 */
export async function drainBox({ router, clock, log, announce, signal }: PlannedStopOptions): Promise<void> {
    const startedAt = clock();
    router.leave();
    log.info("drain.started", { inFlight: router.inFlight() });
    await announce().catch(() => undefined);
    const grace = longestAnswerLifetime(router);
    let reportedAt = startedAt;
    while (!signal.aborted && (router.inFlight() > 0 || clock() - startedAt < grace)) {
        await sleep(pollInterval, signal);
        if (clock() - reportedAt >= reportInterval) {
            reportedAt = clock();
            log.info("drain.waiting", { inFlight: router.inFlight(), milliseconds: clock() - startedAt });
        }
    }
    log.info("drain.complete", { milliseconds: clock() - startedAt });
}

function longestAnswerLifetime(router: Router): number {
    const services = [...router.settings()?.services.values() ?? []];
    return Math.max(0, ...services.map(service => service.values.answerLifetime * 1000));
}
