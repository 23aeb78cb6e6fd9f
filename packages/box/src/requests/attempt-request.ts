/**
 * Types shared by the attempt, the loop that makes attempts, and the feedback on
 * servers: the request of one attempt, and how an attempt can end.
 */

import type { BackendServer, SendRecord, SendResult } from "@chalkdale/decisions";
import type { Milliseconds, RegionId, ServiceId } from "@chalkdale/kernel";
import type { ConfirmedCaller, ServerAnswer } from "../servers/exchange.js";
import type { AnswerMemory } from "./answer-memory.js";

/** How an attempt ended. */
export type AttemptOutcome =
    /**
     * The server's answer, success or failure. `requestsBackoff`: the failure only asks for back-off and is no sign of
     * a fault, but the request may have run.
     */
    | { readonly kind: "answered"; readonly answer: ServerAnswer; readonly requestsBackoff?: true; }
    /** Nothing reached the server. */
    | { readonly kind: "notSent"; readonly reason: string; }
    /** The server reports that it did not run the request. `hasFreeSlots`: it refused although it has free slots. */
    | { readonly kind: "notRun"; readonly status: number; readonly hasFreeSlots: boolean; }
    /**
     * The request may have run, but there is no complete answer. `wasStaleConnection`: most likely because the
     * connection had been idle for too long. `serverTerminatedAt` resolves with the time at which the server process
     * ended, or with undefined if it still runs, and never rejects; it is left out if nothing suggests that the server
     * has ended.
     */
    | {
        readonly kind: "broken";
        readonly reason: string;
        readonly wasStaleConnection: boolean;
        readonly serverTerminatedAt?: Promise<Milliseconds | undefined>;
    }
    /** The attempt was aborted: the caller left, time ran out, another attempt answered, or the request was stopped. */
    | { readonly kind: "cancelled"; };

/** A request as it is sent to one server, with the callbacks of its sender. */
export interface AttemptRequest {
    /** The request may run more than once. */
    readonly isIdempotent: boolean;
    /** Regions that the request may be sent to; undefined if all may. */
    readonly allowedRegions: ReadonlySet<RegionId> | undefined;
    readonly service: ServiceId;
    readonly server: BackendServer;
    readonly method: string;
    readonly path: string;
    /** Names and values alternating, without the headers that an attempt sets. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly requestId: string | undefined;
    /** Returns the time that a server gets: until the request's deadline, less what it may have lain unread before. */
    readonly timeLeft: () => Milliseconds;
    readonly roundTrip: Milliseconds;
    /** Expected time until the answer of a server at normal speed. */
    readonly expected: Milliseconds;
    readonly signal: AbortSignal;
    /** Takes the answer's memory; the sender closes it once the answer is no longer needed. */
    readonly answerMemory: Pick<AnswerMemory, "open">;
    /** Tells whether the caller is still there, or at a box that forwards, the box that sent the attempt. */
    readonly caller: ConfirmedCaller;
    /** Gets each send of the request, before its first byte leaves. */
    readonly sends: Pick<SendRecord, "begin">;
    /** Called immediately before the request is sent. */
    readonly onSend: () => void;
    /** Called after a success with the time that the server took, without the round trip. */
    readonly onServed: (duration: Milliseconds) => void;
}

/** Returns what an attempt's outcome says about its send. */
export function sendResultOf(outcome: AttemptOutcome): SendResult {
    switch (outcome.kind) {
        case "answered":
            return { kind: "answered", status: outcome.answer.status };
        case "notRun":
            return { kind: "notRun", status: outcome.status };
        case "notSent":
            return { kind: "notSent", reason: outcome.reason };
        case "broken":
            return { kind: "noAnswer", reason: outcome.reason };
        case "cancelled":
            return { kind: "noAnswer", reason: "cancelled" };
    }
}
