/**
 * The closed list of answers that a box gives itself, and the table from kind to
 * answer. Every request that is given up gets its answer at once.
 *
 * The kinds stand in log lines and metrics.
 */

/** Every kind of answer of the box's own. */
export type RefusalKind =
    | "notReady"
    | "leaving"
    | "noRoute"
    | "unknownKey"
    | "copyTooOld"
    | "quotaSpent"
    | "bodyTooLarge"
    | "bodyStalled"
    | "bodiesFull"
    | "noServer"
    | "serversCold"
    | "serversLimited"
    | "serversBackedOff"
    | "tooLate"
    | "crowded"
    | "serversFull"
    | "budgetSpent"
    | "endsServers"
    | "unreachable"
    | "timedOutUnsent"
    | "timedOut"
    | "brokenOff"
    | "unprovenAnswer"
    | "unframedAnswer"
    | "internalFault";

/** How one kind is answered. */
export interface Refusal {
    readonly status: number;
    /** Seconds after which the caller may come back; undefined when that cannot help. */
    readonly retryAfter: number | undefined;
}

/** Seconds: another box, or another server, can serve at once. */
const soon = 0.15;
/** Seconds: something has to start or to come back first; a box starts in 0.6 s on a calm day. */
const later = 0.5;
/**
 * Seconds: servers are full. Most callers come back once only, so not before work in progress has ended: it takes 0.4 to 0.8 s.
 */
const afterOverload = 0.7;

/** Seconds: until then the request ends the next server that runs it, or it is not tried. */
const untilTrial = 30;

/** The answer for each kind. 503 promises that the request has not run and never will. */
export const refusals: Readonly<Record<RefusalKind, Refusal>> = {
    notReady: { status: 503, retryAfter: later },
    leaving: { status: 503, retryAfter: soon },
    noRoute: { status: 404, retryAfter: undefined },
    unknownKey: { status: 401, retryAfter: undefined },
    copyTooOld: { status: 503, retryAfter: soon },
    quotaSpent: { status: 429, retryAfter: later },
    bodyTooLarge: { status: 413, retryAfter: undefined },
    bodyStalled: { status: 503, retryAfter: soon },
    bodiesFull: { status: 503, retryAfter: afterOverload },
    noServer: { status: 503, retryAfter: later },
    serversCold: { status: 503, retryAfter: afterOverload },
    serversLimited: { status: 503, retryAfter: afterOverload },
    serversBackedOff: { status: 503, retryAfter: afterOverload },
    crowded: { status: 503, retryAfter: afterOverload },
    tooLate: { status: 503, retryAfter: afterOverload },
    serversFull: { status: 503, retryAfter: afterOverload },
    budgetSpent: { status: 503, retryAfter: afterOverload },
    endsServers: { status: 503, retryAfter: untilTrial },
    unreachable: { status: 503, retryAfter: soon },
    timedOutUnsent: { status: 503, retryAfter: soon },
    timedOut: { status: 504, retryAfter: undefined },
    brokenOff: { status: 502, retryAfter: undefined },
    unprovenAnswer: { status: 502, retryAfter: undefined },
    unframedAnswer: { status: 502, retryAfter: undefined },
    internalFault: { status: 500, retryAfter: undefined },
};

/** Status by which a refusal promises that the request has not run. */
const statusNotRun = 503;

/** True for a refusal by which the caller knows that its request has not run and never will. */
export function promisesNotRun(refusal: RefusalKind): boolean {
    return refusals[refusal].status === statusNotRun;
}

/** Returns the refusal of a request that may have run: none that promises it has not. */
export function refusalAfterRun(refusal: RefusalKind): RefusalKind {
    return promisesNotRun(refusal) ? "brokenOff" : refusal;
}
