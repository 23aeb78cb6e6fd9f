/**
 * Classifies an answer by what it says about the server that sent it.
 *
 * Answers to callers' requests take precedence over health checks as evidence of
 * a server's state, because health checks lag and mislead.
 *
 * Owns no state; the feedback on servers applies the classification.
 */

import type { LoadReport } from "../servers/load-estimate.js";

/** What is known when an answer arrives. */
export interface AnswerClassInputs {
    readonly status: number;
    /** The server reports that it did not run the request. */
    readonly reportsNotRun: boolean;
    /** The server asks this box to back off. */
    readonly requestsBackoff: boolean;
    /** Load that the server reported with the answer; undefined if it reported none. */
    readonly load: LoadReport | undefined;
    /** The server is in slow start. */
    readonly isCold: boolean;
    /** The answer took far longer than expected; see `overdueThreshold`. */
    readonly isOverdue: boolean;
}

/** What an answer means for the state of the server. */
export type AnswerClass =
    /**
     * Another server now uses the address, and no more requests are sent there. `mayHaveRun`: it did not report that the
     * request was not run.
     */
    | { readonly kind: "otherServer"; readonly mayHaveRun: boolean; }
    /** The request did not run. `isFailure`: the server has free slots, so it is failing rather than full. */
    | { readonly kind: "full"; readonly isFailure: boolean; }
    /**
     * The server refused the request and asks for back-off, which does not count as a failure. `mayHaveRun`: it did not
     * report that the request was not run.
     */
    | { readonly kind: "backedOff"; readonly mayHaveRun: boolean; }
    /** The server ran the request. */
    | { readonly kind: "ran"; readonly isFailure: boolean; readonly isSuccess: boolean; };

/** HTTP 421 Misdirected Request: the server is not the one that the request was meant for. */
const statusMisdirected = 421;
/**
 * HTTP 504 Gateway Timeout: the deadline passed at the server. This is no failure if the server had less time than it
 * usually needs.
 */
const statusDeadline = 504;
/** Lowest HTTP status of server errors; lower error statuses are the caller's fault. */
const minFailureStatus = 500;

/** Classifies an answer. */
export function classifyAnswer(inputs: AnswerClassInputs): AnswerClass {
    const { isCold, load, status } = inputs;
    if (status === statusMisdirected) {
        return { kind: "otherServer", mayHaveRun: !inputs.reportsNotRun };
    }
    if (inputs.requestsBackoff) {
        return { kind: "backedOff", mayHaveRun: !inputs.reportsNotRun };
    }
    if (inputs.reportsNotRun) {
        return { kind: "full", isFailure: !isCold && load !== undefined && hasFreeSlots(load) };
    }
    const isExcused = status === statusDeadline && !inputs.isOverdue;
    return {
        kind: "ran",
        isFailure: isFailureStatus(status) && !isExcused,
        isSuccess: isSuccessStatus(status),
    };
}

/** Lowest HTTP status of successes. */
const minSuccessStatus = 200;
/** Lowest HTTP status of redirections, the class after successes. */
const minRedirectionStatus = 300;

/** True for a status of the success class (2xx). */
export function isSuccessStatus(status: number): boolean {
    return status >= minSuccessStatus && status < minRedirectionStatus;
}

/** True for a status of the server error class (5xx). */
export function isFailureStatus(status: number): boolean {
    return status >= minFailureStatus;
}

function hasFreeSlots({ running, slots, waiting }: LoadReport): boolean {
    return waiting === 0 && running < slots;
}
