/**
 * What becomes of a connection whose request is refused before its body is in.
 *
 * The rest of the body is thrown away as it comes, so that the next request begins where it should. Where the rest may be
 * long, or may not come at all, the connection ends with the refusal instead.
 *
 * Owns the timers of connections that are kept; relies on Node to throw away what nobody reads, and on the pipeline to end a
 * connection so that the refusal still arrives.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerAnswer } from "../callers/caller-exchange.js";
import { contentLengthOf, expectsContinue } from "./request-body.js";

/**
 * Bytes of an unread body up to which its connection is kept: a body somewhat beyond the limit that deployments set leaves
 * the requests behind it alone.
 */
const longestKept = 1024 * 1024;
/** Milliseconds for which the rest of a body may come on a connection that is kept, then it ends. */
const keptFor = 5000;

/** True if the connection should end with a refusal that is given now. */
export function shouldCloseAfterRefusal(request: IncomingMessage): boolean {
    if (isIn(request)) {
        return false;
    }
    return expectsContinue(request) || (contentLengthOf(request) ?? Infinity) > longestKept;
}

/** Ends the connection if it is kept after the answer and the rest of the body does not come. */
export function withUnreadBodyTimeout(request: IncomingMessage, answer: CallerAnswer): CallerAnswer {
    if (isIn(request)) {
        return answer;
    }
    return {
        ...answer,
        write(response: ServerResponse, isLast: boolean) {
            response.once("finish", () => endIfStalled(request));
            answer.write(response, isLast);
        },
    };
}

function isIn(request: IncomingMessage): boolean {
    return request.complete || contentLengthOf(request) === 0;
}

function endIfStalled(request: IncomingMessage): void {
    if (request.complete) {
        return;
    }
    const timer = setTimeout(() => request.socket.destroy(), keptFor);
    const stop = () => clearTimeout(timer);
    request.once("end", stop);
    request.once("close", stop);
    // Node does not tell a request that its socket has closed once its answer has left.
    request.socket.once("close", stop);
}
