/**
 * Carries one request to a backend server and its answer back.
 *
 * Each exchange holds its own caller's response, so answers cannot be
 * crossed. An answer that breaks off breaks the caller's connection: it is
 * never ended as if it were whole.
 */

import {
    type ActiveRequest,
    type Clock,
    type PooledServer,
    type RequestError,
    requestError,
    type ServerOutcome,
} from "@chalkdale/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ownHeaders, requestHeaders, responseHeaders } from "./headers.js";
import type { RequestBody } from "./request-body.js";
import type { Exchange, ExchangeFailure, ServerConnections } from "./server-connections.js";

/** How a request ended. */
export type ForwardEnd =
    /** A whole answer went to the caller. */
    | { readonly kind: "answered"; readonly status: number; }
    /** Nothing went to the caller; this error is to be answered. */
    | { readonly kind: "failed"; readonly error: RequestError; }
    /** The answer had begun and broke off, or the caller went away. */
    | { readonly kind: "brokenOff"; readonly by: "server" | "caller" | "deadline"; };

export interface ForwardOptions {
    readonly connections: ServerConnections;
    readonly clock: Clock;
    /** Name of this box, told to callers. */
    readonly box: string;
}

/** What is forwarded. */
export interface ForwardJob {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly active: ActiveRequest;
    readonly body: RequestBody;
    readonly path: string;
    readonly callerAddress: string;
    /** True when the deadline is the caller's and so covers the whole answer. */
    readonly deadlineCoversBody: boolean;
    /** True when the request must not be sent a second time once sent. */
    readonly atMostOnce: boolean;
}

const safeMethods = new Set(["GET", "HEAD", "OPTIONS"]);

/** Forwards a request, to another server where the first did not run it, and returns how it ended. */
export async function forward(job: ForwardJob, options: ForwardOptions): Promise<ForwardEnd> {
    let failure: RequestError | undefined;
    for (;;) {
        if (job.response.destroyed) {
            return { kind: "failed", error: failure ?? requestError("callerCancelled") };
        }
        const assigned = job.active.assign();
        if (assigned.err) {
            return { kind: "failed", error: failure ?? assigned.val };
        }
        const attempt = await attemptOnce(job, assigned.val, options);
        job.active.settle(attempt.outcome);
        if (attempt.kind === "over") {
            return attempt.end;
        }
        failure = attempt.error;
        if (!attempt.mayRepeat || !bodyIsWhole(job.body) || !job.active.mayRetry()) {
            return { kind: "failed", error: failure };
        }
    }
}

function bodyIsWhole(body: RequestBody): boolean {
    return body.kind !== "stream" || !body.started();
}

type Attempt =
    | { readonly kind: "over"; readonly outcome: ServerOutcome; readonly end: ForwardEnd; }
    | {
        readonly kind: "failed";
        readonly outcome: ServerOutcome;
        readonly error: RequestError;
        readonly mayRepeat: boolean;
    };

/** One exchange with one server. */
function attemptOnce(job: ForwardJob, server: PooledServer, options: ForwardOptions): Promise<Attempt> {
    const { response, active } = job;
    const { clock } = options;
    return new Promise(resolve => {
        const startedAt = clock();
        let status = 0;
        let leaving = false;
        let shed = false;
        let endedBy: "caller" | "deadline" | undefined;
        const giveUp = (by: "caller" | "deadline") => {
            endedBy ??= by;
            exchange.abort();
        };
        const timer = setTimeout(() => giveUp("deadline"), Math.max(0, active.deadline - startedAt));
        const onCallerClose = () => giveUp("caller");
        const onDrain = () => exchange.resume();
        response.once("close", onCallerClose);
        response.on("drain", onDrain);
        const exchange: Exchange = options.connections.send(
            server.member,
            active.service.values.connections,
            {
                method: job.request.method ?? "GET",
                path: job.path,
                headers: requestHeaders(job.request.headers, {
                    callerAddress: job.callerAddress,
                    remaining: active.deadline - startedAt,
                }),
                body: job.body,
            },
            { onHead, onData, onEnd, onFailure },
        );

        function onHead(code: number, headers: Record<string, string | string[] | undefined>): void {
            status = code;
            leaving = headers[ownHeaders.leaving] === "1";
            shed = code === 503 && headers[ownHeaders.ran] === "not-run";
            if (shed) {
                return;
            }
            if (!hasKnownEnd(code, job.request.method, headers)) {
                exchange.abort();
                return;
            }
            if (!job.deadlineCoversBody) {
                clearTimeout(timer);
            }
            response.writeHead(code, {
                ...responseHeaders(headers),
                [ownHeaders.box]: options.box,
                [ownHeaders.region]: active.zone.region.id,
                [ownHeaders.zone]: active.zone.id,
            });
        }

        function onData(chunk: Buffer): boolean {
            return shed || response.write(chunk);
        }

        function onEnd(): void {
            if (shed) {
                finish({
                    kind: "failed",
                    outcome: { kind: "shed", leaving },
                    error: requestError("serverShed"),
                    mayRepeat: true,
                });
                return;
            }
            detach();
            response.end();
            const outcome: ServerOutcome = {
                kind: "answered",
                latency: clock() - startedAt,
                serverError: status >= 500,
                leaving,
            };
            resolve({ kind: "over", outcome, end: { kind: "answered", status } });
        }

        function onFailure(reason: ExchangeFailure): void {
            finish(endedBy === undefined ? attemptOfFailure(reason) : attemptOfEnd(endedBy, reason.sent));
        }

        function attemptOfEnd(by: "caller" | "deadline", sent: boolean): Attempt {
            const outcome: ServerOutcome = { kind: "abandoned", deadlineExpired: by === "deadline" };
            if (response.headersSent || by === "caller") {
                return { kind: "over", outcome, end: { kind: "brokenOff", by } };
            }
            const error = requestError(sent ? "deadlineExpired" : "deadlineTooShort");
            return { kind: "failed", outcome, error, mayRepeat: false };
        }

        function attemptOfFailure({ sent }: ExchangeFailure): Attempt {
            if (response.headersSent) {
                return { kind: "over", outcome: { kind: "brokeOff" }, end: { kind: "brokenOff", by: "server" } };
            }
            if (!sent) {
                const error = requestError("serverUnreachable");
                return { kind: "failed", outcome: { kind: "unreachable" }, error, mayRepeat: true };
            }
            if (job.body.kind === "stream" && job.body.exceeded()) {
                const error = requestError("bodyTooLargeMidway");
                return {
                    kind: "failed",
                    outcome: { kind: "abandoned", deadlineExpired: false },
                    error,
                    mayRepeat: false,
                };
            }
            const mayRepeat = !job.atMostOnce && safeMethods.has(job.request.method ?? "");
            return {
                kind: "failed",
                outcome: { kind: "brokeOff" },
                error: requestError("serverBrokeOff"),
                mayRepeat,
            };
        }

        function finish(attempt: Attempt): void {
            detach();
            if (attempt.kind === "over" && attempt.end.kind === "brokenOff") {
                response.destroy();
            }
            resolve(attempt);
        }

        function detach(): void {
            clearTimeout(timer);
            response.off("close", onCallerClose);
            response.off("drain", onDrain);
        }
    });
}

/**
 * Whether the end of an answer can be told from its breaking off: by its
 * length, by chunks, or because it has no body. An answer that ends with its
 * connection is not passed on.
 */
function hasKnownEnd(
    status: number,
    method: string | undefined,
    headers: Record<string, string | string[] | undefined>,
): boolean {
    return method === "HEAD" || status === 204 || status === 304
        || headers["content-length"] !== undefined
        || String(headers["transfer-encoding"] ?? "").toLowerCase().includes("chunked");
}
