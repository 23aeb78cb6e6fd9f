/**
 * Ejection: a server that accepts no connection, or breaks off several answers in
 * a row, gets no requests until a health check or an answer shows that it works.
 *
 * Owns the consecutive failures and the time of the next health check; the caller
 * runs the checks.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** `unreachable`: no connection could be opened; `brokeOff`: a connection ended early or carried an invalid answer. */
export type FailureKind = "unreachable" | "brokeOff";

/** Ejection of one server. */
export interface Ejection {
    /** A request failed at the server. */
    readonly onFailure: (at: Milliseconds, kind: FailureKind) => void;
    /** An answer or a successful health check shows that the server works. */
    readonly onHealthy: () => void;
    /** A health check failed. */
    readonly onUnhealthy: (at: Milliseconds) => void;
    readonly isEjected: () => boolean;
    /** When the next health check is due; undefined for a server that is not ejected. */
    readonly healthCheckDueAt: () => Milliseconds | undefined;
}

/**
 * Milliseconds until the first health check; each failed check doubles the delay. A check costs 0.010 to 0.039 of what
 * an answer is worth, so a server that never recovers must get few of them.
 */
const firstCheckDelay = milliseconds(500);
/** Longest delay between two health checks of one server, in milliseconds. */
const maxCheckDelay = milliseconds(8000);
/** Consecutive broken answers that eject a server; with fewer, one lost answer would eject it. */
const ejectionThreshold = 3;

/** Creates the ejection of a server without failures. */
export function createEjection(): Ejection {
    let consecutiveFailures = 0;
    let checkDelay = firstCheckDelay;
    let checkAt: Milliseconds | undefined;

    return {
        onFailure(at, kind) {
            consecutiveFailures += 1;
            if (kind === "unreachable" || consecutiveFailures >= ejectionThreshold) {
                eject(at);
            }
        },
        onHealthy() {
            consecutiveFailures = 0;
            checkDelay = firstCheckDelay;
            checkAt = undefined;
        },
        onUnhealthy: eject,
        isEjected: () => checkAt !== undefined,
        healthCheckDueAt: () => checkAt,
    };

    /**
     * Ejects the server, or extends its ejection after a failed check. Failures before the next check is due are
     * ignored: those requests were sent before the ejection and must not extend it.
     */
    function eject(at: Milliseconds): void {
        if (checkAt !== undefined && at < checkAt) {
            return;
        }
        checkAt = milliseconds(at + checkDelay);
        checkDelay = milliseconds(Math.min(maxCheckDelay, checkDelay * 2));
    }
}
