/**
 * Answers that a box gives by itself, errors above all.
 */

import { errorAnswers, type ErrorKind, type NamedBox, type RanState, type RequestError } from "@chalkdale/core";
import type { ServerResponse } from "node:http";
import { ownHeaders } from "./headers.js";

/** The body of an error. */
export interface ErrorBody {
    readonly error: ErrorKind;
    readonly ran: RanState;
    readonly summary: string;
    readonly detail?: string;
    /** Milliseconds after which to come back; absent when that cannot help. */
    readonly retryAfterMs?: number;
    /** Other boxes to try, when the error is this box's own. */
    readonly boxes?: readonly NamedBox[];
}

/** Returns the body that an error is answered with. */
export function errorBody(error: RequestError, otherBoxes: readonly NamedBox[]): ErrorBody {
    const answer = errorAnswers[error.kind];
    const retryAfter = error.retryAfter ?? answer.retryAfter;
    return {
        error: error.kind,
        ran: answer.ran,
        summary: answer.summary,
        ...(error.detail === undefined ? {} : { detail: error.detail }),
        ...(retryAfter === undefined ? {} : { retryAfterMs: Math.ceil(retryAfter) }),
        ...(answer.tryOtherBox ? { boxes: otherBoxes } : {}),
    };
}

/** Answers an error at once. A response that has begun is broken off instead. */
export function sendError(response: ServerResponse, error: RequestError, otherBoxes: readonly NamedBox[] = []): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const body = errorBody(error, otherBoxes);
    const headers: Record<string, string> = { [ownHeaders.error]: body.error, [ownHeaders.ran]: body.ran };
    if (body.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(body.retryAfterMs / 1000));
        headers[ownHeaders.retryAfter] = String(body.retryAfterMs);
    }
    sendJson(response, errorAnswers[error.kind].status, body, headers);
}

/** Answers with JSON. */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    const text = `${JSON.stringify(body)}\n`;
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headers,
    });
    response.end(text);
}
