/**
 * Answers to callers: a server's answer, forwarded unchanged, or a refusal.
 *
 * Owns nothing; relies on `not-run-guarantee` for the statuses that callers may get.
 */

import { type CallerStatus, type DecidedRefusal, internalFault } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { ServerResponse } from "node:http";
import type { CallerAnswer } from "../callers/caller-exchange.js";
import type { ServerAnswer } from "../servers/exchange.js";
import type { AnswerMemory } from "./answer-memory.js";
import { forwardableHeaders } from "./headers.js";

/** A server's answer with a status that the caller may get. */
export type ForwardableAnswer = ServerAnswer & { readonly status: CallerStatus; };

/** How an answer is forwarded. */
export interface ForwardingOptions {
    /** Released once the answer has left. */
    readonly memory: Pick<AnswerMemory, "startSending" | "recordSent" | "close">;
    /** False once the caller can no longer be waiting for the answer. */
    readonly callerWaits: () => boolean;
    /** Called if the answer can't be written; the caller then gets `internalFault` instead. */
    readonly onFault: (error: unknown) => void;
}

/** Forwards a server's answer unchanged. */
export function forwardAnswer(
    answer: ForwardableAnswer,
    { callerWaits, memory, onFault }: ForwardingOptions,
): CallerAnswer {
    const { body, framed, status } = answer;
    return {
        bytes: body.length,
        closesConnection: !framed,
        release: memory.close,
        write(response, isLast) {
            const forwardedHeaders = forwardableHeaders(answer.rawHeaders, new Set());
            if (framed) {
                forwardedHeaders.push("Content-Length", String(body.length));
            }
            if (isLast) {
                forwardedHeaders.push("Connection", "close");
            }
            response.sendDate = false;
            response.useChunkedEncodingByDefault = false;
            try {
                response.writeHead(status, forwardedHeaders);
            }
            catch (error) {
                onFault(error);
                writeRefusal(response, internalFault, undefined, isLast);
                return;
            }
            memory.startSending(() => {
                // Some callers take even a reset for the end of an answer without a length.
                if (framed || !callerWaits()) {
                    response.socket?.resetAndDestroy();
                }
            });
            writeParts(response, body.parts, memory.recordSent);
        },
    };
}

/** Writes one part after the other, and removes each from `parts` once it is written: callers may read slowly. */
function writeParts(response: ServerResponse, parts: Buffer[], onSent: (bytes: number) => void): void {
    let sent = 0;
    writeNext();

    function writeNext(): void {
        const part = parts.shift();
        if (part === undefined || parts.length === 0) {
            response.end(part);
            return;
        }
        response.write(part, error => {
            if (error === undefined || error === null) {
                sent += part.length;
                onSent(sent);
                writeNext();
            }
        });
    }
}

/** Options of a refusal. */
export interface RefusalOptions {
    /** Overrides the table's value of Retry-After. */
    readonly retryAfter?: Milliseconds;
    /** The connection closes with the refusal, because the rest of the request is not waited for. */
    readonly closesConnection?: boolean;
}

/** Builds the answer for a refusal. */
export function refusalAnswer(
    refusal: DecidedRefusal,
    { retryAfter, closesConnection = false }: RefusalOptions = {},
): CallerAnswer {
    return {
        bytes: 0,
        closesConnection,
        write: (response, isLast) => writeRefusal(response, refusal, retryAfter, isLast),
    };
}

function writeRefusal(
    response: ServerResponse,
    { retryAfterSeconds, status }: DecidedRefusal,
    retryAfter: Milliseconds | undefined,
    isLast: boolean,
): void {
    const seconds = retryAfter === undefined ? retryAfterSeconds : toSeconds(retryAfter);
    response.sendDate = false;
    response.setHeader("Content-Length", "0");
    if (seconds !== undefined) {
        response.setHeader("Retry-After", String(seconds));
    }
    if (isLast) {
        response.setHeader("Connection", "close");
    }
    response.writeHead(status).end();
}

/** Converts to seconds with three decimal places, rounded up to whole milliseconds. */
function toSeconds(duration: Milliseconds): number {
    return Math.ceil(duration) / 1000;
}
