/**
 * Reads a caller's complete request body, within the limits on one body and on the memory of all bodies of the box.
 *
 * Owns the chunks until the body is complete; relies on the signal for cancellation, and on the account of all bodies
 * for when to read. A body that is announced as too large is not read, and a caller that expects 100 Continue gets it
 * only once its body can be read.
 */

import type { BodyMemory } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import type { IncomingMessage } from "node:http";
import { pauseReading, resumeReading } from "../backpressure.js";
import type { CallerExchange } from "../callers/caller-exchange.js";
import { createGrowingBuffer } from "./growing-buffer.js";

/** A body, or why there is none. */
export type BodyOutcome =
    /** `release` returns its memory to the account; to be called once the request is over. */
    | { readonly kind: "whole"; readonly body: Buffer; readonly release: () => void; }
    | { readonly kind: "tooLarge"; }
    /** It made hardly any progress while others waited for the memory that it holds. */
    | { readonly kind: "stalled"; }
    /** The memory for bodies is used up, and too many bodies wait for it already. */
    | { readonly kind: "noRoom"; }
    /** The caller disconnected, or time ran out, before the body was complete. */
    | { readonly kind: "cut"; };

/** Options of `readBody`. */
export interface ReadBodyOptions {
    readonly clock: Clock;
    /** Maximum size of this body in bytes. */
    readonly maxBytes: number;
    /** Account of all bodies of the box. */
    readonly memory: BodyMemory;
    /** Ends the reading when it aborts. */
    readonly signal: AbortSignal;
}

const emptyBody = Buffer.alloc(0);

/** Reads a request's body. Never rejects. */
export function readBody(
    { request, sendContinue }: Pick<CallerExchange, "request" | "sendContinue">,
    options: ReadBodyOptions,
): Promise<BodyOutcome> {
    const { clock, memory, maxBytes, signal } = options;
    const length = contentLengthOf(request);
    if (length === 0) {
        request.resume();
        return Promise.resolve({ kind: "whole", body: emptyBody, release: () => undefined });
    }
    if (length !== undefined && length > maxBytes) {
        return Promise.resolve({ kind: "tooLarge" });
    }
    if (signal.aborted) {
        return Promise.resolve({ kind: "cut" });
    }
    return new Promise(resolve => {
        const buffer = createGrowingBuffer(length);
        const account = memory.open("request", clock());
        const release = () => account.close(clock());
        let mayCallerSend = !expectsContinue(request);
        account.onResume = () => {
            continueOnce();
            request.resume();
            resumeReading(request.socket, "bodyMemory");
        };
        account.onStalled = () => settle({ kind: "stalled" });
        request.on("data", onData);
        request.on("end", onEnd);
        request.on("error", onAborted);
        request.on("close", onAborted);
        signal.addEventListener("abort", onAborted, { once: true });
        readOrWait();

        function onData(chunk: Buffer): void {
            if (buffer.size() + chunk.length > maxBytes) {
                settle({ kind: "tooLarge" });
                return;
            }
            buffer.add(chunk);
            account.recordReceived(buffer.size(), buffer.held(), clock());
            readOrWait();
        }

        function readOrWait(): void {
            if (buffer.size() === length || account.mayRead(length)) {
                continueOnce();
                return;
            }
            if (!memory.mayWait()) {
                settle({ kind: "noRoom" });
                return;
            }
            request.pause();
            // Pausing only the request would still read one more chunk from the connection.
            pauseReading(request.socket, "bodyMemory");
        }

        /**
         * Sends 100 Continue once if the caller expects it. If it were sent before the body can be read, the caller
         * would send a body that may be refused or has to wait.
         */
        function continueOnce(): void {
            if (!mayCallerSend) {
                mayCallerSend = true;
                sendContinue();
            }
        }

        function onEnd(): void {
            account.markComplete();
            settle({ kind: "whole", body: buffer.take(), release });
        }

        function onAborted(): void {
            settle({ kind: "cut" });
        }

        function settle(outcome: BodyOutcome): void {
            account.onResume = () => undefined;
            account.onStalled = () => undefined;
            request.off("data", onData);
            request.off("end", onEnd);
            request.off("close", onAborted);
            signal.removeEventListener("abort", onAborted);
            if (outcome.kind !== "whole") {
                release();
                // The request's remaining listeners would keep the memory until the connection ends.
                buffer.take();
                // Node buffers what is not read, so the rest is read and discarded.
                request.resume();
                resumeReading(request.socket, "bodyMemory");
            }
            resolve(outcome);
        }
    });
}

/** True if the caller sends its body only after 100 Continue. */
export function expectsContinue(request: IncomingMessage): boolean {
    return request.headers.expect?.toLowerCase() === "100-continue";
}

/** Returns the size of the body in bytes as announced in the head; undefined for a chunked body. */
export function contentLengthOf(request: IncomingMessage): number | undefined {
    if (request.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(request.headers["content-length"] ?? 0);
}
