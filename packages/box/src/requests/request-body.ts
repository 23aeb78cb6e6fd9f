/**
 * Reads a caller's request body whole, within a bound.
 *
 * Owns the parts until the body is whole; relies on the signal for its end.
 */

import type { IncomingMessage } from "node:http";

/** A body, or why there is none. */
export type BodyOutcome =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "tooLarge"; }
    /** The caller went away, or the time was over, before the body was in. */
    | { readonly kind: "cut"; };

const noBody = Buffer.alloc(0);

/** Reads the body until the signal aborts. Never rejects. */
export function readBody(request: IncomingMessage, mostBytes: number, signal: AbortSignal): Promise<BodyOutcome> {
    const { "content-length": length, "transfer-encoding": encoding } = request.headers;
    if (encoding === undefined && (length === undefined || length === "0")) {
        request.resume();
        return Promise.resolve({ kind: "whole", body: noBody });
    }
    if (Number(length ?? 0) > mostBytes) {
        return Promise.resolve({ kind: "tooLarge" });
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > mostBytes) {
                resolve({ kind: "tooLarge" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => resolve({ kind: "whole", body: Buffer.concat(chunks) }));
        request.on("error", () => resolve({ kind: "cut" }));
        request.on("close", () => resolve({ kind: "cut" }));
        signal.addEventListener("abort", () => resolve({ kind: "cut" }), { once: true });
    });
}
