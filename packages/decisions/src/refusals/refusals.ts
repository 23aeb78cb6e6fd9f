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
    readonly retryAfterSeconds: number | undefined;
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
    notReady: { status: 503, retryAfterSeconds: later },
    leaving: { status: 503, retryAfterSeconds: soon },
    noRoute: { status: 404, retryAfterSeconds: undefined },
    unknownKey: { status: 401, retryAfterSeconds: undefined },
    copyTooOld: { status: 503, retryAfterSeconds: soon },
    quotaSpent: { status: 429, retryAfterSeconds: later },
    bodyTooLarge: { status: 413, retryAfterSeconds: undefined },
    bodyStalled: { status: 503, retryAfterSeconds: soon },
    bodiesFull: { status: 503, retryAfterSeconds: afterOverload },
    noServer: { status: 503, retryAfterSeconds: later },
    serversCold: { status: 503, retryAfterSeconds: afterOverload },
    serversLimited: { status: 503, retryAfterSeconds: afterOverload },
    serversBackedOff: { status: 503, retryAfterSeconds: afterOverload },
    crowded: { status: 503, retryAfterSeconds: afterOverload },
    tooLate: { status: 503, retryAfterSeconds: afterOverload },
    serversFull: { status: 503, retryAfterSeconds: afterOverload },
    budgetSpent: { status: 503, retryAfterSeconds: afterOverload },
    endsServers: { status: 503, retryAfterSeconds: untilTrial },
    unreachable: { status: 503, retryAfterSeconds: soon },
    timedOutUnsent: { status: 503, retryAfterSeconds: soon },
    timedOut: { status: 504, retryAfterSeconds: undefined },
    brokenOff: { status: 502, retryAfterSeconds: undefined },
    unprovenAnswer: { status: 502, retryAfterSeconds: undefined },
    unframedAnswer: { status: 502, retryAfterSeconds: undefined },
    internalFault: { status: 500, retryAfterSeconds: undefined },
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
