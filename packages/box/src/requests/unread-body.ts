/**
 * What becomes of a connection whose request is answered before its body is in.
 *
 * The rest of the body is thrown away as it comes, so that the next request begins where it should. Where the rest may be
 * long, or may not come at all, the connection ends with the answer instead: the box says so, sends its end, and still takes
 * in what comes for a while, since a connection that is dropped with bytes unread takes the answer with it.
 *
 * Owns the timers of such connections, and which of them end; relies on Node to throw away what nobody reads.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { announcedLength, awaitsContinue } from "./request-body.js";

/** Bytes of an unread body up to which its connection is kept: no longer on the way than a new connection takes. Not measured. */
const longestKept = 512 * 1024;
/** Milliseconds for which the rest of a body may come on a connection that is kept, then it ends. Not measured. */
const keptFor = 5000;
/** Milliseconds for which bytes are taken in after the box has sent its end. Not measured. */
const lingerFor = 1000;

const ending = new WeakSet<Socket>();

/** True for a connection whose last answer was decided: whatever comes behind it was never read. */
export function isEnding(socket: Socket): boolean {
    return ending.has(socket);
}

/** Prepares the connection for an answer that comes now. Returns true if it is the connection's last. */
export function leaveBodyUnread(request: IncomingMessage, response: ServerResponse): boolean {
    if (request.complete || announcedLength(request) === 0) {
        return false;
    }
    if (awaitsContinue(request) || (announcedLength(request) ?? Infinity) > longestKept) {
        lingerAtEnd(request);
        return true;
    }
    response.once("finish", () => endIfStalled(request));
    return false;
}

/** Node drops a connection as soon as its last answer is written; from now on this one lingers. */
function lingerAtEnd({ socket }: IncomingMessage): void {
    ending.add(socket);
    socket.destroySoon = () => {
        socket.end();
        const timer = setTimeout(() => socket.destroy(), lingerFor);
        socket.once("close", () => clearTimeout(timer));
    };
}

function endIfStalled(request: IncomingMessage): void {
    if (request.complete) {
        return;
    }
    const timer = setTimeout(() => request.socket.destroy(), keptFor);
    const stop = () => clearTimeout(timer);
    request.once("end", stop);
    request.once("close", stop);
}
