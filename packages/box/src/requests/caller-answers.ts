/**
 * Answers to callers: a server's, unchanged, or the box's own.
 *
 * Owns nothing; relies on the table of refusals.
 */

import { type RefusalKind, refusals } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { ServerResponse } from "node:http";
import type { CallerAnswer } from "../callers/caller-exchange.js";
import type { ServerAnswer } from "../servers/exchange.js";
import { forwardableHeaders } from "./headers.js";

/** A server's answer as it is. `onFault`: it can't be written, and the caller gets a failure instead. */
export function forwardAnswer(answer: ServerAnswer, onFault: (error: unknown) => void): CallerAnswer {
    const { body, framed, status } = answer;
    return {
        bytes: body.length,
        closesConnection: !framed,
        write(response, isLast) {
            const back = forwardableHeaders(answer.rawHeaders, new Set());
            if (framed) {
                back.push("Content-Length", String(body.length));
            }
            if (isLast) {
                back.push("Connection", "close");
            }
            response.sendDate = false;
            response.useChunkedEncodingByDefault = false;
            try {
                response.writeHead(status, back);
            }
            catch (error) {
                onFault(error);
                writeRefusal(response, "internalFault", undefined, isLast);
                return;
            }
            response.end(body);
        },
    };
}

/** How a refusal is given. */
export interface RefusalOptions {
    /** Goes before the time of the table. */
    readonly retryAfter?: Milliseconds;
    /** The rest of the request can't be waited for. */
    readonly closesConnection?: boolean;
}

/** An answer of the box's own. */
export function refusalAnswer(
    kind: RefusalKind,
    { retryAfter: comeBackAfter, closesConnection: endsConnection = false }: RefusalOptions = {},
): CallerAnswer {
    return {
        bytes: 0,
        closesConnection: endsConnection,
        write: (response, isLast) => writeRefusal(response, kind, comeBackAfter, isLast),
    };
}

function writeRefusal(
    response: ServerResponse,
    kind: RefusalKind,
    comeBackAfter: Milliseconds | undefined,
    isLast: boolean,
): void {
    const { status, retryAfterSeconds: retryAfter } = refusals[kind];
    const seconds = comeBackAfter === undefined ? retryAfter : toSeconds(comeBackAfter);
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

/** Seconds with three digits after the point. */
function toSeconds(duration: Milliseconds): number {
    return Math.ceil(duration) / 1000;
}
