/**
 * Types of a caller's request with its pending answer, and of the state of the
 * connection that it came on.
 *
 * Owns nothing; `caller-pipeline` changes the state, the code that serves a
 * request sees only its `CallerExchange`.
 */

import type { SendRecord } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ConfirmedCaller } from "../servers/exchange.js";

/** An answer that can be held until all earlier ones of its connection are written. */
export interface CallerAnswer {
    /** Bytes of its body. */
    readonly bytes: number;
    /** True if the connection must close after it. */
    readonly closesConnection: boolean;
    /** Called once, when all earlier answers have left. `isLast`: the connection closes after it. Never throws. */
    readonly write: (response: ServerResponse, isLast: boolean) => void;
    /** Called when the answer has left, or can't be sent any more; more than once at times. Never throws. */
    readonly release?: () => void;
}

/** One request, and the means to answer it. */
export interface CallerExchange {
    readonly request: IncomingMessage;
    /** When its head was read, by the box's clock. */
    readonly arrivedAt: Milliseconds;
    /** Upper bound of the time for which the head was unread before. */
    readonly unreadFor: Milliseconds;
    /** Aborted when the caller's end of the connection closes; the code that serves the request may abort it as well. */
    readonly controller: AbortController;
    /** Tells whether the caller is still there: the close of a connection is read later than the requests before it. */
    readonly caller: ConfirmedCaller;
    /** The sends of the request to servers. */
    readonly sends: SendRecord;
    /** Sends 100 Continue to a caller that waits for it before it sends its body. */
    readonly sendContinue: () => void;
    /** True if later requests were started. If the answer to this one closed the connection, theirs would be lost. */
    readonly hasStartedSuccessors: () => boolean;
    /** Queues the answer; calls after the first have no effect. */
    readonly respond: (answer: CallerAnswer) => void;
}

/** The state of one connection and its requests. */
export interface CallerPipeline {
    readonly socket: Socket;
    /** Requests that were read and not answered, in order; the first `startedCount` of them are in progress. */
    exchanges: QueuedExchange[];
    startedCount: number;
    /** The latest request, until it is both read completely and answered. */
    latest: QueuedExchange | undefined;
    /** True while an answer is being written. */
    isWriting: boolean;
    /** True if the connection closes once the requests in progress are answered. */
    isClosing: boolean;
    /** True once the last answer is being written or the connection has closed: no further request is served. */
    isFinished: boolean;
    /** Raw bytes to send once all requests that could be parsed are answered. */
    pendingErrorResponse: string | undefined;
    /** Checks whether the caller is still connected; they resume reading, and it stays so until the last has ended. */
    checksInProgress: number;
    /** How often reading was paused because too many requests were unanswered. */
    pauseCount: number;
}

/** A request that was read, with the state that only the pipeline uses. */
export interface QueuedExchange extends CallerExchange {
    readonly response: ServerResponse;
    /** Computed on first use; undefined until then. */
    isIdempotent: boolean | undefined;
    /** The answer, once there is one. */
    ready: CallerAnswer | undefined;
    /** The caller waits for a 100 Continue that was not sent: Node closes the connection with the answer. */
    expectsContinue: boolean;
}
