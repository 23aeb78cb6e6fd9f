/**
 * The requests of one connection: begun as the rule on pipelining allows, answered
 * in the order in which they came, ended when the connection ends.
 *
 * Owns the order of the answers, the count of what is in progress, and which
 * answer ends the connection: plain state a connection, since closures for each
 * cost 2 KB of a connection that rests. Relies on Node for parsing; what is in progress
 * follows the socket, since Node tells only the first response of a connection
 * that it was closed.
 */

import { mayBegin, stopsReading } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerPipeline, CallerTurn, QueuedTurn } from "./caller-turn.js";
import { endInOrder } from "./ordered-end.js";
import { readOn, stopReading } from "./reading-bound.js";
import { unreadableAnswer, unreadableBytes } from "./unreadable-requests.js";

export interface CallerPipelinesOptions {
    readonly clock: Clock;
    /** True if a request may run more than once. */
    readonly isIdempotent: (request: IncomingMessage) => boolean;
    /** True once callers should use other boxes. */
    readonly isLeaving: () => boolean;
    readonly serve: (turn: CallerTurn) => void;
}

/** What happens on connections. */
export interface CallerPipelines {
    readonly open: (socket: Socket) => CallerPipeline;
    /** `awaitsContinue`: the caller asks to be told to send its body. */
    readonly onRequest: (
        pipeline: CallerPipeline,
        request: IncomingMessage,
        response: ServerResponse,
        awaitsContinue: boolean,
    ) => void;
    /** What came can't be read; the status is given behind all answers, and ends the connection. */
    readonly onUnreadable: (pipeline: CallerPipeline, status: number) => void;
    /** The connection has ended, and with it all that is in progress. */
    readonly onClosed: (pipeline: CallerPipeline) => void;
    /** Ends the connection if no request waits for its answer. */
    readonly endIfIdle: (pipeline: CallerPipeline) => void;
}

/** Creates what happens on the connections of one server. */
export function createCallerPipelines(options: CallerPipelinesOptions): CallerPipelines {
    return {
        open(socket) {
            // Node calls it once the last answer was written.
            socket.destroySoon = endThisInOrder;
            return {
                socket,
                turns: [],
                begun: 0,
                latest: undefined,
                isWriting: false,
                isEnding: false,
                isOver: false,
                lastBytes: undefined,
            };
        },
        onRequest(pipeline, request, response, awaitsContinue) {
            if (pipeline.isOver || pipeline.lastBytes !== undefined) {
                request.resume();
                return;
            }
            const turn = createTurn(pipeline, request, response, awaitsContinue);
            pipeline.latest = turn;
            pipeline.turns.push(turn);
            if (stopsReading(pipeline.turns.length)) {
                stopReading(pipeline.socket);
            }
            goOn(pipeline);
        },
        onUnreadable(pipeline, status) {
            const { latest } = pipeline;
            if (latest === undefined || latest.request.complete) {
                pipeline.lastBytes ??= unreadableBytes(status);
            }
            else {
                cutOff(pipeline, latest, status);
            }
            goOn(pipeline);
        },
        onClosed(pipeline) {
            const { turns } = pipeline;
            pipeline.isOver = true;
            pipeline.turns = [];
            pipeline.begun = 0;
            turns.forEach(turn => turn.controller.abort());
        },
        endIfIdle(pipeline) {
            if (pipeline.turns.length === 0) {
                end(pipeline);
            }
        },
    };

    function createTurn(
        pipeline: CallerPipeline,
        request: IncomingMessage,
        response: ServerResponse,
        awaitsContinue: boolean,
    ): QueuedTurn {
        const turn: QueuedTurn = {
            request,
            response,
            arrivedAt: options.clock(),
            controller: new AbortController(),
            isIdempotent: undefined,
            ready: undefined,
            awaitsContinue,
            sendContinue() {
                turn.awaitsContinue = false;
                response.writeContinue();
                goOn(pipeline);
            },
            isFollowed: () => pipeline.turns.indexOf(turn) < pipeline.begun - 1,
            answer(answer) {
                if (turn.ready === undefined) {
                    turn.ready = answer;
                    pipeline.isEnding ||= answer.endsConnection;
                    goOn(pipeline);
                }
            },
        };
        return turn;
    }

    /** The body of the latest request can't be read to its end, so it reached no server. */
    function cutOff(pipeline: CallerPipeline, turn: QueuedTurn, status: number): void {
        if (pipeline.turns.indexOf(turn) >= pipeline.begun) {
            pipeline.turns.pop();
            pipeline.lastBytes ??= unreadableBytes(status);
            return;
        }
        pipeline.isEnding = true;
        turn.answer(unreadableAnswer(status));
        // Whoever waits for the rest of the body would hold its memory until the request's time is over.
        turn.controller.abort();
    }

    /** Begins what may be begun and writes what is due. */
    function goOn(pipeline: CallerPipeline): void {
        while (!pipeline.isOver && mayBeginNext(pipeline)) {
            begin(pipeline, pipeline.turns[pipeline.begun]);
        }
        if (!pipeline.isOver && !pipeline.isWriting) {
            writeNext(pipeline);
        }
    }

    function mayBeginNext(pipeline: CallerPipeline): boolean {
        const { begun, turns } = pipeline;
        if (begun === turns.length) {
            return false;
        }
        return begun === 0 || mayBegin({
            inProgress: begun,
            isIdempotent: turns.slice(0, begun + 1).every(isIdempotent),
            waitingBytes: turns.reduce((bytes, { ready }) => bytes + (ready?.bytes ?? 0), 0),
            isEnding: endsWithBegun(pipeline),
        });
    }

    /** True if the last answer of what is in progress ends the connection. */
    function endsWithBegun({ begun, isEnding, turns }: CallerPipeline): boolean {
        return isEnding || options.isLeaving() || (begun > 0 && turns[begun - 1].awaitsContinue);
    }

    function isIdempotent(turn: QueuedTurn): boolean {
        return turn.isIdempotent ??= options.isIdempotent(turn.request);
    }

    function begin(pipeline: CallerPipeline, turn: QueuedTurn): void {
        pipeline.begun += 1;
        // Its caller says that it sends no other.
        pipeline.isEnding ||= !turn.response.shouldKeepAlive || asksForUpgrade(turn.request);
        options.serve(turn);
    }

    function writeNext(pipeline: CallerPipeline): void {
        const { begun, turns } = pipeline;
        if (turns.length === 0) {
            endIfDue(pipeline);
            return;
        }
        const [turn] = turns;
        if (turn.ready === undefined) {
            return;
        }
        pipeline.isWriting = true;
        pipeline.isOver = begun === 1 && endsWithBegun(pipeline);
        turn.response.once("close", () => onLeft(pipeline, turn));
        turn.ready.write(turn.response, pipeline.isOver);
    }

    function onLeft(pipeline: CallerPipeline, turn: QueuedTurn): void {
        if (pipeline.turns[0] !== turn) {
            return;
        }
        pipeline.isWriting = false;
        pipeline.turns.shift();
        pipeline.begun -= 1;
        if (pipeline.latest === turn && turn.request.complete) {
            // A connection that rests must not keep its last answer.
            pipeline.latest = undefined;
        }
        if (pipeline.isOver) {
            dropUnread(pipeline);
            return;
        }
        if (!stopsReading(pipeline.turns.length)) {
            readOn(pipeline.socket);
        }
        goOn(pipeline);
    }
}

/** Node's parser drops what it has read behind such a request, so the caller must know that it was not read. */
function asksForUpgrade({ headers }: IncomingMessage): boolean {
    return headers.upgrade !== undefined && /\bupgrade\b/i.test(headers.connection ?? "");
}

function endIfDue(pipeline: CallerPipeline): void {
    if (pipeline.lastBytes !== undefined) {
        pipeline.socket.write(pipeline.lastBytes);
        end(pipeline);
    }
    else if (pipeline.isEnding) {
        end(pipeline);
    }
}

function end(pipeline: CallerPipeline): void {
    pipeline.isOver = true;
    endInOrder(pipeline.socket);
}

/** What was read behind the last answer counts as unread; reading on lets that answer arrive. */
function dropUnread(pipeline: CallerPipeline): void {
    pipeline.turns.forEach(turn => turn.request.resume());
    pipeline.turns = [];
    readOn(pipeline.socket);
}

function endThisInOrder(this: Socket): void {
    endInOrder(this);
}
