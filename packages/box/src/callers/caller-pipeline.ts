/**
 * The pipelined requests of one connection: started as the rules on pipelining
 * allow, answered in the order in which they came, aborted when the connection closes.
 *
 * Owns the order of the answers, the number of requests in progress, and the
 * choice of the answer that closes the connection. Keeps this as plain state per
 * connection, since closures would cost 2 KB for each idle connection. Relies on
 * Node for parsing. Requests are aborted by the socket's "end", "error" and "close" events, since
 * Node reports a closed connection only to the first response of that connection.
 */

import {
    createSendRecord,
    decideStatus,
    mayReadAhead,
    mayStartNext,
    shouldPauseReading,
    statusMayHaveRun,
} from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { isPausedFor, isReadingPaused, pauseReading, resumeReading } from "../backpressure.js";
import type { LoopShare } from "../loop-share.js";
import type { CallerExchange, CallerPipeline, QueuedExchange } from "./caller-exchange.js";
import { confirmOpen, createConfirmedCaller } from "./connection-check.js";
import { closeGracefully } from "./graceful-close.js";
import { errorAnswer, rawErrorResponse } from "./invalid-requests.js";

/** What the pipelines need from the box. */
export interface CallerPipelinesOptions {
    readonly clock: Clock;
    readonly loopShare: Pick<LoopShare, "meter">;
    /** Upper bound of the time for which bytes that are read now were unread. */
    readonly unreadFor: () => Milliseconds;
    /** Returns true if a request may run more than once. */
    readonly isIdempotent: (request: IncomingMessage) => boolean;
    /** Returns true once callers should use other boxes. */
    readonly isLeaving: () => boolean;
    /** Starts to serve a request, which is answered through the exchange. */
    readonly serve: (exchange: CallerExchange) => void;
}

/** Handles the events of all connections of one server. */
export interface CallerPipelines {
    /** Returns the state of a new connection. */
    readonly open: (socket: Socket) => CallerPipeline;
    /** Queues a request. `expectsContinue`: the caller waits for 100 Continue before it sends the body. */
    readonly onRequest: (
        pipeline: CallerPipeline,
        request: IncomingMessage,
        response: ServerResponse,
        expectsContinue: boolean,
    ) => void;
    /** Handles bytes that can't be parsed: the status is sent after all other answers and closes the connection. */
    readonly onInvalidRequest: (pipeline: CallerPipeline, status: number) => void;
    /**
     * Aborts all unanswered requests of a connection that its caller has ended. Node ends the other side at once, so no
     * further answer could be sent.
     */
    readonly onEnded: (pipeline: CallerPipeline) => void;
    /** Aborts all unanswered requests of a connection that has closed. */
    readonly onClosed: (pipeline: CallerPipeline) => void;
    /** Closes the connection if no request waits for its answer. */
    readonly closeIfIdle: (pipeline: CallerPipeline) => void;
}

/** Creates the handlers for the connections of one server. */
export function createCallerPipelines(options: CallerPipelinesOptions): CallerPipelines {
    return {
        open(socket) {
            // Node calls `destroySoon` once the last answer was written.
            socket.destroySoon = closeThisGracefully;
            options.loopShare.meter(socket);
            return {
                socket,
                exchanges: [],
                startedCount: 0,
                latest: undefined,
                isWriting: false,
                isClosing: false,
                isFinished: false,
                pendingErrorResponse: undefined,
                checksInProgress: 0,
                pauseCount: 0,
            };
        },
        onRequest(pipeline, request, response, expectsContinue) {
            if (pipeline.isFinished || pipeline.pendingErrorResponse !== undefined) {
                request.resume();
                return;
            }
            const exchange = createExchange(pipeline, request, response, expectsContinue);
            pipeline.latest = exchange;
            pipeline.exchanges.push(exchange);
            pauseIfDue(pipeline);
            advance(pipeline);
        },
        onInvalidRequest(pipeline, status) {
            const { latest } = pipeline;
            if (latest === undefined || latest.request.complete) {
                pipeline.pendingErrorResponse ??= rawErrorResponse(status);
            }
            else {
                rejectIncomplete(pipeline, latest, status);
            }
            advance(pipeline);
        },
        onEnded(pipeline) {
            pipeline.isFinished = true;
            abortAll(pipeline.exchanges);
        },
        onClosed(pipeline) {
            const { exchanges } = pipeline;
            pipeline.isFinished = true;
            pipeline.exchanges = [];
            pipeline.startedCount = 0;
            exchanges.forEach(({ ready }) => ready?.release?.());
            abortAll(exchanges);
        },
        closeIfIdle(pipeline) {
            if (pipeline.exchanges.length === 0) {
                close(pipeline);
            }
        },
    };

    function createExchange(
        pipeline: CallerPipeline,
        request: IncomingMessage,
        response: ServerResponse,
        expectsContinue: boolean,
    ): QueuedExchange {
        const exchange: QueuedExchange = {
            request,
            response,
            arrivedAt: options.clock(),
            unreadFor: options.unreadFor(),
            controller: new AbortController(),
            isIdempotent: undefined,
            ready: undefined,
            expectsContinue,
            sends: createSendRecord(),
            caller: createConfirmedCaller(options.clock, () => confirmCaller(pipeline, exchange.controller.signal)),
            sendContinue() {
                exchange.expectsContinue = false;
                response.writeContinue();
                advance(pipeline);
            },
            hasStartedSuccessors: () => pipeline.exchanges.indexOf(exchange) < pipeline.startedCount - 1,
            respond(answer) {
                if (exchange.ready !== undefined || !pipeline.exchanges.includes(exchange)) {
                    answer.release?.();
                    return;
                }
                exchange.ready = answer;
                pipeline.isClosing ||= answer.closesConnection;
                advance(pipeline);
            },
        };
        return exchange;
    }

    async function confirmCaller(pipeline: CallerPipeline, signal: AbortSignal): Promise<boolean> {
        const { socket } = pipeline;
        pipeline.checksInProgress += 1;
        const isOpen = await confirmOpen(socket, {
            clock: options.clock,
            signal,
            reading: {
                isPaused: () => isReadingPaused(socket),
                pauseCount: () => pipeline.pauseCount,
                resume() {
                    if (mayReadAhead(pipeline.exchanges.length)) {
                        resumeReading(socket, "unansweredRequests");
                    }
                    return !isReadingPaused(socket);
                },
            },
        });
        pipeline.checksInProgress -= 1;
        if (pipeline.checksInProgress === 0) {
            pauseIfDue(pipeline);
        }
        return isOpen;
    }

    /** Pauses reading while too many requests are unanswered. */
    function pauseIfDue(pipeline: CallerPipeline): void {
        if (shouldPauseReading(pipeline.exchanges.length) && !isPausedFor(pipeline.socket, "unansweredRequests")) {
            pipeline.pauseCount += 1;
            pauseReading(pipeline.socket, "unansweredRequests");
        }
    }

    /** Rejects the latest request, whose body can't be read to its end; it has not reached any server. */
    function rejectIncomplete(pipeline: CallerPipeline, exchange: QueuedExchange, status: number): void {
        if (pipeline.exchanges.indexOf(exchange) >= pipeline.startedCount) {
            pipeline.exchanges.pop();
            pipeline.pendingErrorResponse ??= rawErrorResponse(status);
            return;
        }
        pipeline.isClosing = true;
        exchange.respond(errorAnswer(decideStatus(status, exchange.sends) ?? statusMayHaveRun));
        // Code that waits for the rest of the body would otherwise hold its memory until the request's deadline.
        exchange.controller.abort();
    }

    /** Starts the requests that may be started, and writes the next answer if it is ready. */
    function advance(pipeline: CallerPipeline): void {
        while (!pipeline.isFinished && canStartNext(pipeline)) {
            start(pipeline, pipeline.exchanges[pipeline.startedCount]);
        }
        if (!pipeline.isFinished && !pipeline.isWriting) {
            writeNext(pipeline);
        }
    }

    function canStartNext(pipeline: CallerPipeline): boolean {
        const { startedCount, exchanges } = pipeline;
        if (startedCount === exchanges.length) {
            return false;
        }
        return startedCount === 0 || mayStartNext({
            inProgress: startedCount,
            isIdempotent: exchanges.slice(0, startedCount + 1).every(isIdempotent),
            bufferedBytes: exchanges.reduce((bytes, { ready }) => bytes + (ready?.bytes ?? 0), 0),
            isClosing: closesAfterStarted(pipeline),
        });
    }

    /** True if the connection closes after the last answer in progress. */
    function closesAfterStarted({ startedCount, isClosing, exchanges }: CallerPipeline): boolean {
        return isClosing || options.isLeaving() || (startedCount > 0 && exchanges[startedCount - 1].expectsContinue);
    }

    function isIdempotent(exchange: QueuedExchange): boolean {
        return exchange.isIdempotent ??= options.isIdempotent(exchange.request);
    }

    function start(pipeline: CallerPipeline, exchange: QueuedExchange): void {
        pipeline.startedCount += 1;
        // The caller states that this is its last request on the connection.
        pipeline.isClosing ||= !exchange.response.shouldKeepAlive || asksForUpgrade(exchange.request);
        options.serve(exchange);
    }

    function writeNext(pipeline: CallerPipeline): void {
        const { startedCount, exchanges } = pipeline;
        if (exchanges.length === 0) {
            closeIfDue(pipeline);
            return;
        }
        const [exchange] = exchanges;
        if (exchange.ready === undefined) {
            return;
        }
        pipeline.isWriting = true;
        pipeline.isFinished = startedCount === 1 && closesAfterStarted(pipeline);
        exchange.response.once("close", () => onResponseClosed(pipeline, exchange));
        exchange.ready.write(exchange.response, pipeline.isFinished);
    }

    function onResponseClosed(pipeline: CallerPipeline, exchange: QueuedExchange): void {
        if (pipeline.exchanges[0] !== exchange) {
            return;
        }
        pipeline.isWriting = false;
        exchange.ready?.release?.();
        pipeline.exchanges.shift();
        pipeline.startedCount -= 1;
        if (pipeline.latest === exchange && exchange.request.complete) {
            // An idle connection must not keep its last answer in memory.
            pipeline.latest = undefined;
        }
        if (pipeline.isFinished) {
            discardUnstarted(pipeline);
            return;
        }
        if (!shouldPauseReading(pipeline.exchanges.length)) {
            resumeReading(pipeline.socket, "unansweredRequests");
        }
        advance(pipeline);
    }
}

/**
 * True if a request asks for an upgrade. Node's parser discards what it has read after such a request, so the
 * connection must close for the caller to know that later requests were not read.
 */
function asksForUpgrade({ headers }: IncomingMessage): boolean {
    return headers.upgrade !== undefined && /\bupgrade\b/i.test(headers.connection ?? "");
}

function abortAll(exchanges: readonly QueuedExchange[]): void {
    exchanges.forEach(exchange => exchange.controller.abort());
}

function closeIfDue(pipeline: CallerPipeline): void {
    if (pipeline.pendingErrorResponse !== undefined) {
        pipeline.socket.write(pipeline.pendingErrorResponse);
        close(pipeline);
    }
    else if (pipeline.isClosing) {
        close(pipeline);
    }
}

function close(pipeline: CallerPipeline): void {
    pipeline.isFinished = true;
    closeGracefully(pipeline.socket);
}

/**
 * Discards requests that were read but not started when the connection closes. Reading goes on, since a close with
 * unread bytes would reset the connection and lose the last answer.
 */
function discardUnstarted(pipeline: CallerPipeline): void {
    pipeline.exchanges.forEach(exchange => exchange.request.resume());
    pipeline.exchanges = [];
    resumeReading(pipeline.socket, "unansweredRequests");
}

function closeThisGracefully(this: Socket): void {
    closeGracefully(this);
}
