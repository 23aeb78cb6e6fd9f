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

import { mayStartNext, shouldPauseReading } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { pauseReading, resumeReading } from "./backpressure.js";
import type { CallerExchange, CallerPipeline, QueuedExchange } from "./caller-exchange.js";
import { closeGracefully } from "./graceful-close.js";
import { errorAnswer, rawErrorResponse } from "./invalid-requests.js";

export interface CallerPipelinesOptions {
    readonly clock: Clock;
    /** True if a request may run more than once. */
    readonly isIdempotent: (request: IncomingMessage) => boolean;
    /** True once callers should use other boxes. */
    readonly isLeaving: () => boolean;
    readonly serve: (turn: CallerExchange) => void;
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
    readonly onInvalidRequest: (pipeline: CallerPipeline, status: number) => void;
    /** The connection has ended, and with it all that is in progress. */
    readonly onClosed: (pipeline: CallerPipeline) => void;
    /** Ends the connection if no request waits for its answer. */
    readonly closeIfIdle: (pipeline: CallerPipeline) => void;
}

/** Creates what happens on the connections of one server. */
export function createCallerPipelines(options: CallerPipelinesOptions): CallerPipelines {
    return {
        open(socket) {
            // Node calls it once the last answer was written.
            socket.destroySoon = endThisInOrder;
            return {
                socket,
                exchanges: [],
                startedCount: 0,
                latest: undefined,
                isWriting: false,
                isClosing: false,
                isFinished: false,
                pendingErrorResponse: undefined,
            };
        },
        onRequest(pipeline, request, response, awaitsContinue) {
            if (pipeline.isFinished || pipeline.pendingErrorResponse !== undefined) {
                request.resume();
                return;
            }
            const turn = createTurn(pipeline, request, response, awaitsContinue);
            pipeline.latest = turn;
            pipeline.exchanges.push(turn);
            if (shouldPauseReading(pipeline.exchanges.length)) {
                pauseReading(pipeline.socket);
            }
            goOn(pipeline);
        },
        onInvalidRequest(pipeline, status) {
            const { latest } = pipeline;
            if (latest === undefined || latest.request.complete) {
                pipeline.pendingErrorResponse ??= rawErrorResponse(status);
            }
            else {
                cutOff(pipeline, latest, status);
            }
            goOn(pipeline);
        },
        onClosed(pipeline) {
            const { exchanges: turns } = pipeline;
            pipeline.isFinished = true;
            pipeline.exchanges = [];
            pipeline.startedCount = 0;
            turns.forEach(turn => turn.controller.abort());
        },
        closeIfIdle(pipeline) {
            if (pipeline.exchanges.length === 0) {
                end(pipeline);
            }
        },
    };

    function createTurn(
        pipeline: CallerPipeline,
        request: IncomingMessage,
        response: ServerResponse,
        awaitsContinue: boolean,
    ): QueuedExchange {
        const turn: QueuedExchange = {
            request,
            response,
            arrivedAt: options.clock(),
            controller: new AbortController(),
            isIdempotent: undefined,
            ready: undefined,
            expectsContinue: awaitsContinue,
            sendContinue() {
                turn.expectsContinue = false;
                response.writeContinue();
                goOn(pipeline);
            },
            hasStartedSuccessors: () => pipeline.exchanges.indexOf(turn) < pipeline.startedCount - 1,
            respond(answer) {
                if (turn.ready === undefined) {
                    turn.ready = answer;
                    pipeline.isClosing ||= answer.closesConnection;
                    goOn(pipeline);
                }
            },
        };
        return turn;
    }

    /** The body of the latest request can't be read to its end, so it reached no server. */
    function cutOff(pipeline: CallerPipeline, turn: QueuedExchange, status: number): void {
        if (pipeline.exchanges.indexOf(turn) >= pipeline.startedCount) {
            pipeline.exchanges.pop();
            pipeline.pendingErrorResponse ??= rawErrorResponse(status);
            return;
        }
        pipeline.isClosing = true;
        turn.respond(errorAnswer(status));
        // Whoever waits for the rest of the body would hold its memory until the request's time is over.
        turn.controller.abort();
    }

    /** Begins what may be begun and writes what is due. */
    function goOn(pipeline: CallerPipeline): void {
        while (!pipeline.isFinished && mayBeginNext(pipeline)) {
            begin(pipeline, pipeline.exchanges[pipeline.startedCount]);
        }
        if (!pipeline.isFinished && !pipeline.isWriting) {
            writeNext(pipeline);
        }
    }

    function mayBeginNext(pipeline: CallerPipeline): boolean {
        const { startedCount: begun, exchanges: turns } = pipeline;
        if (begun === turns.length) {
            return false;
        }
        return begun === 0 || mayStartNext({
            inProgress: begun,
            isIdempotent: turns.slice(0, begun + 1).every(isIdempotent),
            bufferedBytes: turns.reduce((bytes, { ready }) => bytes + (ready?.bytes ?? 0), 0),
            isClosing: endsWithBegun(pipeline),
        });
    }

    /** True if the last answer of what is in progress ends the connection. */
    function endsWithBegun({ startedCount: begun, isClosing: isEnding, exchanges: turns }: CallerPipeline): boolean {
        return isEnding || options.isLeaving() || (begun > 0 && turns[begun - 1].expectsContinue);
    }

    function isIdempotent(turn: QueuedExchange): boolean {
        return turn.isIdempotent ??= options.isIdempotent(turn.request);
    }

    function begin(pipeline: CallerPipeline, turn: QueuedExchange): void {
        pipeline.startedCount += 1;
        // Its caller says that it sends no other.
        pipeline.isClosing ||= !turn.response.shouldKeepAlive || asksForUpgrade(turn.request);
        options.serve(turn);
    }

    function writeNext(pipeline: CallerPipeline): void {
        const { startedCount: begun, exchanges: turns } = pipeline;
        if (turns.length === 0) {
            endIfDue(pipeline);
            return;
        }
        const [turn] = turns;
        if (turn.ready === undefined) {
            return;
        }
        pipeline.isWriting = true;
        pipeline.isFinished = begun === 1 && endsWithBegun(pipeline);
        turn.response.once("close", () => onLeft(pipeline, turn));
        turn.ready.write(turn.response, pipeline.isFinished);
    }

    function onLeft(pipeline: CallerPipeline, turn: QueuedExchange): void {
        if (pipeline.exchanges[0] !== turn) {
            return;
        }
        pipeline.isWriting = false;
        pipeline.exchanges.shift();
        pipeline.startedCount -= 1;
        if (pipeline.latest === turn && turn.request.complete) {
            // A connection that rests must not keep its last answer.
            pipeline.latest = undefined;
        }
        if (pipeline.isFinished) {
            dropUnread(pipeline);
            return;
        }
        if (!shouldPauseReading(pipeline.exchanges.length)) {
            resumeReading(pipeline.socket);
        }
        goOn(pipeline);
    }
}

/** Node's parser drops what it has read behind such a request, so the caller must know that it was not read. */
function asksForUpgrade({ headers }: IncomingMessage): boolean {
    return headers.upgrade !== undefined && /\bupgrade\b/i.test(headers.connection ?? "");
}

function endIfDue(pipeline: CallerPipeline): void {
    if (pipeline.pendingErrorResponse !== undefined) {
        pipeline.socket.write(pipeline.pendingErrorResponse);
        end(pipeline);
    }
    else if (pipeline.isClosing) {
        end(pipeline);
    }
}

function end(pipeline: CallerPipeline): void {
    pipeline.isFinished = true;
    closeGracefully(pipeline.socket);
}

/** What was read behind the last answer counts as unread; reading on lets that answer arrive. */
function dropUnread(pipeline: CallerPipeline): void {
    pipeline.exchanges.forEach(turn => turn.request.resume());
    pipeline.exchanges = [];
    resumeReading(pipeline.socket);
}

function endThisInOrder(this: Socket): void {
    closeGracefully(this);
}
