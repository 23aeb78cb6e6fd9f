/**
 * Writes answers to callers: a server's, unchanged, or the box's own. A box
 * that is leaving ends each connection with its answer.
 *
 * Owns nothing; relies on the table of refusals.
 */

import { type RefusalKind, refusals } from "@chalkdale/decisions";
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

/** Gives an answer of the box's own; breaks the connection if another was begun. */
export function refuse(response: ServerResponse, kind: RefusalKind, isLeaving: boolean): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const { status, retryAfter } = refusals[kind];
    response.sendDate = false;
    response.setHeader("Content-Length", "0");
    if (retryAfter !== undefined) {
        response.setHeader("Retry-After", String(retryAfter));
    }
    if (isLeaving) {
        response.setHeader("Connection", "close");
    }
    response.writeHead(status).end();
}
