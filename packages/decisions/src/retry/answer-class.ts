/**
 * What an answer says about the server that gave it.
 *
 * A server is judged by the answers to callers' requests before its health
 * checks, which lag and mislead.
 *
 * Owns no state; the feedback on a server carries the verdict out.
 */

import type { LoadReport } from "../servers/load-estimate.js";

/** What is known when an answer came. */
export interface AnswerClassInputs {
    readonly status: number;
    /** The server says that it did not run the request. */
    readonly saysNotRun: boolean;
    /** The server wants nothing from this box for a while. */
    readonly requestsBackoff: boolean;
    /** Load that the server reported with the answer. */
    readonly load: LoadReport | undefined;
    /** The server is in slow start. */
    readonly isCold: boolean;
    /** The answer took far longer than expected; see `isOverdue`. */
    readonly isOverdue: boolean;
}

/** What follows for the server. */
export type AnswerClass =
    /** Another server has the address now: nothing more goes there, and the request did not run. */
    | { readonly kind: "otherServer"; }
    /** The request did not run since the server is full, or, with free slots, since the server fails: then it is not full. */
    | { readonly kind: "full"; readonly isFailure: boolean; }
    /** The server turned the request away and asks for back-off, which is no failure of it. `mayHaveRun`: it doesn't say that it has not run the request. */
    | { readonly kind: "backedOff"; readonly mayHaveRun: boolean; }
    /** The server ran the request. */
    | { readonly kind: "ran"; readonly isFailure: boolean; readonly isSuccess: boolean; };

/** HTTP's status of a server that is not the one meant. */
const statusMisdirected = 421;
/** A server answers so at the request's deadline; within the expected time that is no fault of the server. */
const statusDeadline = 504;
/** Statuses of a server's own failures begin here; below it an answer is the caller's. */
const leastFailureStatus = 500;

/** Judges an answer. */
export function classifyAnswer(inputs: AnswerClassInputs): AnswerClass {
    const { isCold, load, status } = inputs;
    if (status === statusMisdirected) {
        return { kind: "otherServer" };
    }
    if (inputs.requestsBackoff) {
        return { kind: "backedOff", mayHaveRun: !inputs.saysNotRun };
    }
    if (inputs.saysNotRun) {
        return { kind: "full", isFailure: !isCold && load !== undefined && hasRoom(load) };
    }
    const isExcused = status === statusDeadline && !inputs.isOverdue;
    return {
        kind: "ran",
        isFailure: isFailureStatus(status) && !isExcused,
        isSuccess: isSuccessStatus(status),
    };
}

/** Least of HTTP's statuses of successes. */
const leastSuccess = 200;
/** Least of HTTP's statuses of redirections, which follow on those of successes. */
const leastRedirection = 300;

/** True for a status by which a server says that it has done what was asked. */
export function isSuccessStatus(status: number): boolean {
    return status >= leastSuccess && status < leastRedirection;
}

/** True for a status by which a server says that it failed. */
export function isFailureStatus(status: number): boolean {
    return status >= leastFailureStatus;
}

function hasRoom({ running, slots, waiting }: LoadReport): boolean {
    return waiting === 0 && running < slots;
}
