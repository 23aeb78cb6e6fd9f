/**
 * Ejection: a server that takes no connection, or breaks off several answers in
 * a row, gets nothing until a health check or an answer shows that it works.
 *
 * Owns the failures in a row and the time of the next check; relies on whoever
 * makes the checks.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** `unreachable`: no connection; `brokeOff`: a connection ended or spoiled an answer. */
export type FailureKind = "unreachable" | "brokeOff";

/** Ejection of one server. */
export interface Ejection {
    readonly onFailure: (at: Milliseconds, kind: FailureKind) => void;
    /** An answer or a good health check: the server works. */
    readonly onHealthy: () => void;
    /** A health check found the server not well. */
    readonly onUnhealthy: (at: Milliseconds) => void;
    readonly isEjected: () => boolean;
    /** When the next health check is due; undefined for a server that is not ejected. */
    readonly healthCheckDueAt: () => Milliseconds | undefined;
}

/**
 * Milliseconds until the first health check, doubled with each that fails up to the longest. A probe costs 0.010 to 0.039 of
 * worth, so a server that is gone for good must cost few.
 */
const firstPause = milliseconds(500);
/** Milliseconds; the longest pause between two checks of one server. */
const longestPause = milliseconds(8000);
/** Broken answers in a row that eject: fewer would eject a server for one lost answer. */
const brokenAnswersInARow = 3;

/** Creates the ejection of a server without failures. */
export function createEjection(): Ejection {
    let failuresInARow = 0;
    let pause = firstPause;
    let checkAt: Milliseconds | undefined;

    return {
        onFailure(at, kind) {
            failuresInARow += 1;
            if (kind === "unreachable" || failuresInARow >= brokenAnswersInARow) {
                eject(at);
            }
        },
        onHealthy() {
            failuresInARow = 0;
            pause = firstPause;
            checkAt = undefined;
        },
        onUnhealthy: eject,
        isEjected: () => checkAt !== undefined,
        healthCheckDueAt: () => checkAt,
    };

    /** Failures of requests that were sent before the ejection don't lengthen it. */
    function eject(at: Milliseconds): void {
        if (checkAt !== undefined && at < checkAt) {
            return;
        }
        checkAt = milliseconds(at + pause);
        pause = milliseconds(Math.min(longestPause, pause * 2));
    }
}
