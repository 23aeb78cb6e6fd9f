/**
 * The closed list of answers that a box gives itself, and the table from
 * kind to answer.
 */

/** Every kind of answer of the box's own. */
export type RefusalKind =
    | "notReady"
    | "leaving"
    | "noRoute"
    | "badRequest"
    | "bodyTooLarge"
    | "noServer"
    | "serversCold"
    | "tooLate"
    | "serversFull"
    | "budgetSpent"
    | "unreachable"
    | "timedOutUnsent"
    | "timedOut"
    | "brokenOff"
    | "unprovenAnswer"
    | "internalFault";

/** How one kind is answered. */
export interface Refusal {
    readonly status: number;
    /** Seconds after which the caller may come back; undefined when that cannot help. */
    readonly retryAfter: number | undefined;
}

/** Another box, or another server, can serve at once. */
const soon = 0.15;
/** Something has to start or to come back first. */
const later = 0.5;
/** Servers are full: most callers come back once only, so not before work in progress has ended. */
const afterOverload = 0.7;

/** The answer for each kind. 503 promises that the request has not run and never will. */
export const refusals: Readonly<Record<RefusalKind, Refusal>> = {
    notReady: { status: 503, retryAfter: later },
    leaving: { status: 503, retryAfter: soon },
    noRoute: { status: 404, retryAfter: undefined },
    badRequest: { status: 400, retryAfter: undefined },
    bodyTooLarge: { status: 413, retryAfter: undefined },
    noServer: { status: 503, retryAfter: later },
    serversCold: { status: 503, retryAfter: afterOverload },
    tooLate: { status: 503, retryAfter: afterOverload },
    serversFull: { status: 503, retryAfter: afterOverload },
    budgetSpent: { status: 503, retryAfter: afterOverload },
    unreachable: { status: 503, retryAfter: soon },
    timedOutUnsent: { status: 503, retryAfter: soon },
    timedOut: { status: 504, retryAfter: undefined },
    brokenOff: { status: 502, retryAfter: undefined },
    unprovenAnswer: { status: 502, retryAfter: undefined },
    internalFault: { status: 500, retryAfter: undefined },
};
