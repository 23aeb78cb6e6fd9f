/**
 * The body of a caller's request: read ahead when it is small, so that it can
 * be sent again to another backend server, and streamed otherwise.
 */

import { Err, Ok, type RequestError, requestError, type Result } from "@chalkdale/core";
import type { IncomingMessage } from "node:http";

/** A body that can be given to a backend server. */
export type RequestBody =
    | { readonly kind: "none"; }
    | { readonly kind: "whole"; readonly bytes: Buffer; }
    | {
        readonly kind: "stream";
        readonly chunks: AsyncIterable<Buffer>;
        /** Returns whether a part has been read, so that it cannot be sent again. */
        readonly started: () => boolean;
        /** Returns whether the limit was exceeded. */
        readonly exceeded: () => boolean;
    };

/** Bodies of up to this many bytes are read ahead. */
const readAheadLimit = 64 * 1024;

/** Reads or opens the body of a request. */
export async function openBody(request: IncomingMessage, limit: number): Promise<Result<RequestBody, RequestError>> {
    const length = lengthOf(request);
    if (length === undefined && request.headers["transfer-encoding"] === undefined) {
        return Ok({ kind: "none" });
    }
    if (length !== undefined && length > limit) {
        return Err(requestError("bodyTooLarge", { detail: `the limit is ${limit} bytes` }));
    }
    if (length === 0) {
        return Ok({ kind: "none" });
    }
    if (length !== undefined && length <= readAheadLimit) {
        return readWhole(request, length);
    }
    return Ok(streamOf(request, limit));
}

function lengthOf(request: IncomingMessage): number | undefined {
    const text = request.headers["content-length"];
    return text === undefined ? undefined : Number(text);
}

async function readWhole(request: IncomingMessage, length: number): Promise<Result<RequestBody, RequestError>> {
    const parts: Buffer[] = [];
    try {
        for await (const part of request) {
            parts.push(part as Buffer);
        }
    }
    catch {
        return Err(requestError("badRequest", { detail: "the body broke off" }));
    }
    const bytes = Buffer.concat(parts);
    return bytes.length === length
        ? Ok({ kind: "whole", bytes })
        : Err(requestError("badRequest", { detail: "the body is shorter than its length" }));
}

function streamOf(request: IncomingMessage, limit: number): RequestBody {
    let started = false;
    let size = 0;
    async function* chunks(): AsyncGenerator<Buffer> {
        started = true;
        for await (const chunk of request) {
            size += (chunk as Buffer).length;
            if (size > limit) {
                throw new Error("request body too large");
            }
            yield chunk as Buffer;
        }
    }
    return { kind: "stream", chunks: chunks(), started: () => started, exceeded: () => size > limit };
}
