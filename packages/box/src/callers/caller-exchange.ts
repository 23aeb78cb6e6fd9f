/**
 * A request of a caller with the place of its answer, and what is kept of the
 * connection on which it came.
 *
 * Owns nothing; the pipeline changes what is kept, who serves a request sees its turn.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** An answer that can wait for its turn. */
export interface CallerAnswer {
    /** Bytes of its body. */
    readonly bytes: number;
    /** The connection must end with it. */
    readonly closesConnection: boolean;
    /** Called once, in its turn. `isLast`: the connection ends with it. Never throws. */
    readonly write: (response: ServerResponse, isLast: boolean) => void;
}

/** One request, and the place of its answer among those of its connection. */
export interface CallerExchange {
    readonly request: IncomingMessage;
    /** When its head was read. */
    readonly arrivedAt: Milliseconds;
    /** Aborted when the connection ends; who serves the request may abort it as well. */
    readonly controller: AbortController;
    /** Tells a caller that asked first to send its body. */
    readonly sendContinue: () => void;
    /** True if requests behind it were begun: an answer to it that ends the connection would lose theirs. */
    readonly hasStartedSuccessors: () => boolean;
    /** Takes the answer; only the first counts. */
    readonly respond: (answer: CallerAnswer) => void;
}

/** The requests of one connection. */
export interface CallerPipeline {
    readonly socket: Socket;
    /** Read and not answered, in order; the first of them, as many as were begun, are in progress. */
    exchanges: QueuedExchange[];
    startedCount: number;
    /** The latest request as long as it is not whole, or not answered. */
    latest: QueuedExchange | undefined;
    isWriting: boolean;
    /** The last answer of what is in progress ends the connection. */
    isClosing: boolean;
    /** The last answer was written, or the connection has ended: nothing more is served. */
    isFinished: boolean;
    /** What goes out once all requests that could be read are answered. */
    pendingErrorResponse: string | undefined;
}

/** A request that was read. */
export interface QueuedExchange extends CallerExchange {
    readonly response: ServerResponse;
    /** Undefined until it matters. */
    isIdempotent: boolean | undefined;
    ready: CallerAnswer | undefined;
    /** Its caller asked to be told to send its body and was not: Node ends the connection with the answer. */
    expectsContinue: boolean;
}
