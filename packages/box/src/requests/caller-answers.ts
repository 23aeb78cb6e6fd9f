/**
 * Writes answers to callers: a server's, unchanged, or the box's own. A box
 * that is leaving ends each connection with its answer.
 *
 * Owns nothing; relies on the table of refusals.
 */

import { type RefusalKind, refusals } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";
import type { ServerResponse } from "node:http";
import type { ServerAnswer } from "../servers/exchange.js";
import { passOnHeaders } from "./headers.js";

/** Passes a server's answer back as it is. */
export function passBack(response: ServerResponse, answer: ServerAnswer, isLeaving: boolean): void {
    response.sendDate = false;
    const back = passOnHeaders(answer.rawHeaders, new Set());
    response.useChunkedEncodingByDefault = false;
    if (answer.framed) {
        back.push("Content-Length", String(answer.body.length));
    }
    if (isLeaving || !answer.framed) {
        response.shouldKeepAlive = false;
        back.push("Connection", "close");
    }
    response.writeHead(answer.status, back);
    response.end(answer.body);
}

/** How a refusal is given. */
export interface RefusalOptions {
    /** The connection ends with it. */
    readonly isLast: boolean;
    /** Goes before the time of the table. */
    readonly comeBackAfter?: Milliseconds;
}

/** Gives an answer of the box's own; breaks the connection if another was begun. */
export function refuse(response: ServerResponse, kind: RefusalKind, options: RefusalOptions): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const { status, retryAfter } = refusals[kind];
    response.sendDate = false;
    response.setHeader("Content-Length", "0");
    const comeBackAfter = options.comeBackAfter === undefined ? retryAfter : toSeconds(options.comeBackAfter);
    if (comeBackAfter !== undefined) {
        response.setHeader("Retry-After", String(comeBackAfter));
    }
    if (options.isLast) {
        response.setHeader("Connection", "close");
    }
    response.writeHead(status).end();
}

/** Seconds with three digits after the point. */
function toSeconds(duration: Milliseconds): number {
    return Math.ceil(duration) / 1000;
}
