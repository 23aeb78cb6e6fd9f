/**
 * The requests of one connection: begun as the rule on pipelining allows, answered
 * in the order in which they came, ended when the connection ends.
 *
 * Owns the order of the answers, the count of what is in progress, and which
 * answer ends the connection. Relies on Node for parsing; what is in progress
 * follows the socket, since Node tells only the first response of a connection
 * that it was closed.
 */

import { type ConnectionWork, mayBegin, stopsReading } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { endInOrder } from "./ordered-end.js";
import { createReadingBound } from "./reading-bound.js";
import { unreadableAnswer, unreadableBytes } from "./unreadable-requests.js";

/** An answer that can wait for its turn. */
export interface CallerAnswer {
    /** Bytes of its body. */
    readonly bytes: number;
    /** False: the connection must end with it. */
    readonly isFramed: boolean;
    /** Called once, in its turn. `isLast`: the connection ends with it. Never throws. */
    readonly write: (response: ServerResponse, isLast: boolean) => void;
}

/** One request, and the place of its answer among those of its connection. */
export interface CallerTurn {
    readonly request: IncomingMessage;
    /** When its head was read. */
    readonly arrivedAt: Milliseconds;
    /** Aborted when the connection ends; who serves the request may abort it as well. */
    readonly controller: AbortController;
    /** True if requests behind it were begun: an answer to it that ends the connection would lose theirs. */
    readonly isFollowed: () => boolean;
    /** Takes the answer; only the first counts. */
    readonly answer: (answer: CallerAnswer) => void;
}

export interface CallerPipelineOptions {
    readonly clock: Clock;
    /** True if a request may run more than once. */
    readonly isRepeatable: (request: IncomingMessage) => boolean;
    /** True once callers should use other boxes. */
    readonly isLeaving: () => boolean;
    readonly serve: (turn: CallerTurn) => void;
}

/** The requests of one connection. */
export interface CallerPipeline {
    readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
    /** What came can't be read; the status is given behind all answers, and ends the connection. */
    readonly onUnreadable: (status: number) => void;
    /** The connection has ended, and with it all that is in progress. */
    readonly onClosed: () => void;
    /** Ends the connection if no request waits for its answer. */
    readonly endIfIdle: () => void;
    /** Requests that were begun and whose answers have not left. */
    readonly inProgress: () => number;
}

/** A request that was read. */
interface QueuedTurn extends CallerTurn {
    readonly response: ServerResponse;
    readonly isRepeatable: () => boolean;
    ready: CallerAnswer | undefined;
}

/** Creates the requests of a connection: none yet. */
export function createCallerPipeline(socket: Socket, options: CallerPipelineOptions): CallerPipeline {
    const reading = createReadingBound(socket);
    /** Read and not answered, in order; the first `begun` of them are in progress. */
    let turns: QueuedTurn[] = [];
    let begun = 0;
    let latest: QueuedTurn | undefined;
    let isWriting = false;
    /** The last answer of what is in progress ends the connection. */
    let isEnding = false;
    /** The last answer was written, or the connection has ended: nothing more is served. */
    let isOver = false;
    /** What goes out once all requests that could be read are answered. */
    let lastBytes: string | undefined;
    const work: ConnectionWork = {
        inProgress: () => begun,
        hasUnrepeatable: () => turns.slice(0, begun).some(turn => !turn.isRepeatable()),
        waitingBytes: () => turns.reduce((bytes, { ready }) => bytes + (ready?.bytes ?? 0), 0),
        isEnding: () => isEnding || options.isLeaving(),
    };
    // Node calls it once the last answer was written.
    socket.destroySoon = () => endInOrder(socket);

    return {
        onRequest(request, response) {
            if (isOver || lastBytes !== undefined) {
                request.resume();
                return;
            }
            latest = createTurn(request, response);
            turns.push(latest);
            if (stopsReading(turns.length)) {
                reading.stop();
            }
            goOn();
        },
        onUnreadable(status) {
            if (latest === undefined || latest.request.complete) {
                lastBytes ??= unreadableBytes(status);
            }
            else {
                cutOff(latest, status);
            }
            goOn();
        },
        onClosed() {
            isOver = true;
            const ended = turns;
            turns = [];
            begun = 0;
            ended.forEach(turn => turn.controller.abort());
        },
        endIfIdle() {
            if (turns.length === 0) {
                end();
            }
        },
        inProgress: () => begun,
    };

    function createTurn(request: IncomingMessage, response: ServerResponse): QueuedTurn {
        let isRepeatable: boolean | undefined;
        const turn: QueuedTurn = {
            request,
            response,
            arrivedAt: options.clock(),
            controller: new AbortController(),
            ready: undefined,
            isRepeatable: () => isRepeatable ??= options.isRepeatable(request),
            isFollowed: () => turns.indexOf(turn) < begun - 1,
            answer(answer) {
                if (turn.ready === undefined) {
                    turn.ready = answer;
                    isEnding ||= !answer.isFramed;
                    goOn();
                }
            },
        };
        return turn;
    }

    /** The body of the latest request can't be read to its end, so it reached no server. */
    function cutOff(turn: QueuedTurn, status: number): void {
        if (turns.indexOf(turn) >= begun) {
            turns.pop();
            lastBytes ??= unreadableBytes(status);
            return;
        }
        isEnding = true;
        turn.answer(unreadableAnswer(status));
    }

    /** Begins what may be begun and writes what is due. */
    function goOn(): void {
        while (!isOver && begun < turns.length && mayBegin(work, turns[begun].isRepeatable)) {
            begin(turns[begun]);
        }
        if (!isOver && !isWriting) {
            writeNext();
        }
    }

    function begin(turn: QueuedTurn): void {
        begun += 1;
        // Its caller says that it sends no other.
        isEnding ||= !turn.response.shouldKeepAlive;
        options.serve(turn);
    }

    function writeNext(): void {
        if (turns.length === 0) {
            endUnlessReadable();
            return;
        }
        const [turn] = turns;
        if (turn.ready === undefined) {
            return;
        }
        isWriting = true;
        isOver = begun === 1 && work.isEnding();
        turn.response.once("close", () => onLeft(turn));
        turn.ready.write(turn.response, isOver);
    }

    function onLeft(turn: QueuedTurn): void {
        if (turns[0] !== turn) {
            return;
        }
        isWriting = false;
        turns.shift();
        begun -= 1;
        if (isOver) {
            dropUnread();
            return;
        }
        if (!stopsReading(turns.length)) {
            reading.goOn();
        }
        goOn();
    }

    function endUnlessReadable(): void {
        if (lastBytes !== undefined) {
            socket.write(lastBytes);
            end();
        }
        else if (isEnding) {
            end();
        }
    }

    function end(): void {
        isOver = true;
        endInOrder(socket);
    }

    /** What was read behind the last answer counts as unread; reading on lets that answer arrive. */
    function dropUnread(): void {
        turns.forEach(turn => turn.request.resume());
        turns = [];
        reading.goOn();
    }
}
