/**
 * The closed list of errors a caller can get, and the table from kind to answer.
 */

/** Whether the request ran on a backend server, as far as the box knows. */
export type RanState = "not-run" | "ran" | "unknown";

/** Every kind of error that a caller can be given. */
export type ErrorKind =
    | "badRequest"
    | "unknownService"
    | "headerTooLarge"
    | "bodyTooLarge"
    | "bodyTooLargeMidway"
    | "notReady"
    | "noCapacityRights"
    | "boxLeaving"
    | "tooManyRequests"
    | "shiftCapReached"
    | "capacityReached"
    | "linkLimitReached"
    | "noServerAvailable"
    | "serversBusy"
    | "deadlineTooShort"
    | "serverShed"
    | "serverUnreachable"
    | "serverBrokeOff"
    | "deadlineExpired"
    | "callerCancelled"
    | "ticketRequired"
    | "ticketInvalid"
    | "ticketOfOtherBox"
    | "ticketOfOtherIncarnation"
    | "ticketRunning"
    | "ticketSpent"
    | "ticketExpired"
    | "internalFault";

/** How one kind of error is answered. */
export interface ErrorAnswer {
    readonly status: number;
    readonly ran: RanState;
    /** Milliseconds after which the caller may come back; undefined when coming back cannot help. */
    readonly retryAfter: number | undefined;
    /** Whether the caller may send the request to another box. */
    readonly tryOtherBox: boolean;
    readonly summary: string;
}

const soon = 250;
const aSecond = 1000;

/** The answer for each kind. A decision may replace `retryAfter` by a time that it has worked out. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
    badRequest: answer(400, "not-run", undefined, false, "the request is malformed"),
    unknownService: answer(404, "not-run", undefined, false, "no such service in the settings"),
    headerTooLarge: answer(431, "not-run", undefined, false, "the request header exceeds the limit"),
    bodyTooLarge: answer(413, "not-run", undefined, false, "the request body exceeds the limit"),
    bodyTooLargeMidway: answer(
        413,
        "unknown",
        undefined,
        false,
        "the request body exceeded the limit while it was sent on",
    ),
    notReady: answer(503, "not-run", aSecond, true, "the box has no configuration yet"),
    noCapacityRights: answer(503, "not-run", aSecond, true, "the box has no right to any capacity yet, or no more"),
    boxLeaving: answer(503, "not-run", soon, true, "the box is stopping"),
    tooManyRequests: answer(503, "not-run", soon, true, "the box holds as many requests as it may"),
    shiftCapReached: answer(503, "not-run", aSecond, false, "the shift cap allows no more traffic elsewhere"),
    capacityReached: answer(503, "not-run", aSecond, false, "the region is at its capacity"),
    linkLimitReached: answer(503, "not-run", aSecond, false, "the link to the region is at its limit"),
    noServerAvailable: answer(503, "not-run", aSecond, false, "no backend server can take the request"),
    serversBusy: answer(503, "not-run", soon, false, "all backend servers are at their limit"),
    deadlineTooShort: answer(504, "not-run", undefined, false, "the request cannot finish before its deadline"),
    serverShed: answer(503, "not-run", soon, false, "the backend server refused the request unrun"),
    serverUnreachable: answer(502, "not-run", soon, true, "no connection to the backend server"),
    serverBrokeOff: answer(502, "unknown", soon, false, "the backend server broke off"),
    deadlineExpired: answer(504, "unknown", undefined, false, "the deadline passed while the request ran"),
    callerCancelled: answer(499, "unknown", undefined, false, "the caller cancelled the request"),
    ticketRequired: answer(428, "not-run", undefined, false, "the service asks for a ticket with this method"),
    ticketInvalid: answer(400, "not-run", undefined, false, "the ticket was not minted by this deployment"),
    ticketOfOtherBox: answer(421, "not-run", 0, true, "the ticket must be spent at the box that minted it"),
    ticketOfOtherIncarnation: answer(409, "unknown", undefined, false, "the box restarted since it minted the ticket"),
    ticketRunning: answer(409, "ran", soon, false, "the operation of this ticket is running"),
    ticketSpent: answer(409, "ran", undefined, false, "the operation of this ticket has run"),
    ticketExpired: answer(409, "unknown", undefined, false, "the ticket has expired"),
    internalFault: answer(500, "unknown", soon, false, "a fault of the box"),
};

function answer(
    status: number,
    ran: RanState,
    retryAfter: number | undefined,
    tryOtherBox: boolean,
    summary: string,
): ErrorAnswer {
    return { status, ran, retryAfter, tryOtherBox, summary };
}

/** An error on its way to a caller. */
export interface RequestError {
    readonly kind: ErrorKind;
    /** Milliseconds from now; replaces the table's value when given. */
    readonly retryAfter?: number;
    /** What the box adds for people, without internal detail. */
    readonly detail?: string;
}

/** Makes an error of a kind. */
export function requestError(kind: ErrorKind, options: Omit<RequestError, "kind"> = {}): RequestError {
    return { kind, ...options };
}
