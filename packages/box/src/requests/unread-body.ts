/**
 * Decides whether a connection is kept after its request was refused before the body was complete.
 *
 * On a kept connection, the rest of the body is read and discarded, so that the next request on it can be parsed. If
 * the rest may be long, or may never arrive, the connection closes with the refusal instead.
 *
 * Owns the timers of kept connections; relies on Node to discard what is not read, and on the pipeline to close a
 * connection so that the refusal still arrives.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerAnswer } from "../callers/caller-exchange.js";
import { contentLengthOf, expectsContinue } from "./request-body.js";

/**
 * Maximum size, in bytes, of a body for whose rest the connection is kept: a body slightly above the usual limit of a
 * deployment then does not affect the requests behind it.
 */
const maxDiscardedBytes = 1024 * 1024;
/** Milliseconds within which the rest of a body must arrive on a kept connection before the connection is closed. */
const discardTimeout = 5000;

/** True if the connection should close with a refusal that is sent now. */
export function shouldCloseAfterRefusal(request: IncomingMessage): boolean {
    if (isBodyComplete(request)) {
        return false;
    }
    return expectsContinue(request) || (contentLengthOf(request) ?? Infinity) > maxDiscardedBytes;
}

/**
 * Wraps an answer so that, if the connection is kept after it, the connection is closed unless the rest of the body
 * arrives in time.
 */
export function withUnreadBodyTimeout(request: IncomingMessage, answer: CallerAnswer): CallerAnswer {
    if (isBodyComplete(request)) {
        return answer;
    }
    return {
        ...answer,
        write(response: ServerResponse, isLast: boolean) {
            response.once("finish", () => closeIfStalled(request));
            answer.write(response, isLast);
        },
    };
}

function isBodyComplete(request: IncomingMessage): boolean {
    return request.complete || contentLengthOf(request) === 0;
}

function closeIfStalled(request: IncomingMessage): void {
    if (request.complete) {
        return;
    }
    const timer = setTimeout(() => request.socket.destroy(), discardTimeout);
    const stop = () => clearTimeout(timer);
    request.once("end", stop);
    request.once("close", stop);
    // Node emits no "close" on a request for its closed socket once the answer has been sent.
    request.socket.once("close", stop);
}
