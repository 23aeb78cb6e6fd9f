/**
 * Reads a caller's request body whole, within the bounds on one body and on all bodies of the box.
 *
 * Owns the parts until the body is whole; relies on the signal for its end, and on the account of all bodies for when to
 * read. Nothing is read of a body that is announced as too large, and a caller that asks first whether to send it is told
 * to only once it is wanted.
 */

import type { BodyMemory } from "@chalkdale/decisions";
import type { Clock } from "@chalkdale/kernel";
import type { IncomingMessage } from "node:http";
import type { CallerExchange } from "../callers/caller-exchange.js";
import { createGrowingBuffer } from "./growing-buffer.js";

/** A body, or why there is none. */
export type BodyOutcome =
    /** `release` gives its memory back to the account; due once the request is over. */
    | { readonly kind: "whole"; readonly body: Buffer; readonly release: () => void; }
    | { readonly kind: "tooLarge"; }
    /** It hardly came on while others waited for the memory that it holds. */
    | { readonly kind: "stalled"; }
    /** The memory for bodies is spent, and so many wait already that this one can't. */
    | { readonly kind: "noRoom"; }
    /** The caller went away, or the time was over, before the body was in. */
    | { readonly kind: "cut"; };

/** Bounds and the end of a body. */
export interface ReadBodyOptions {
    readonly clock: Clock;
    /** Bytes of this body at most. */
    readonly maxBytes: number;
    readonly memory: BodyMemory;
    readonly signal: AbortSignal;
}

const noBody = Buffer.alloc(0);

/** Reads the body until the signal aborts. Never rejects. */
export function readBody(
    { request, sendContinue }: Pick<CallerExchange, "request" | "sendContinue">,
    reading: ReadBodyOptions,
): Promise<BodyOutcome> {
    const { clock, memory, maxBytes: mostBytes, signal } = reading;
    const length = contentLengthOf(request);
    if (length === 0) {
        request.resume();
        return Promise.resolve({ kind: "whole", body: noBody, release: () => undefined });
    }
    if (length !== undefined && length > mostBytes) {
        return Promise.resolve({ kind: "tooLarge" });
    }
    if (signal.aborted) {
        return Promise.resolve({ kind: "cut" });
    }
    return new Promise(resolve => {
        const buffer = createGrowingBuffer(length);
        const account = memory.open(clock());
        const release = () => account.close(clock());
        let isTold = !expectsContinue(request);
        account.onResume = () => {
            tellToSend();
            request.resume();
            request.socket.resume();
        };
        account.onStalled = () => settle({ kind: "stalled" });
        request.on("data", onData);
        request.on("end", onEnd);
        request.on("error", onCut);
        request.on("close", onCut);
        signal.addEventListener("abort", onCut, { once: true });
        waitForTurn();

        function onData(part: Buffer): void {
            if (buffer.size() + part.length > mostBytes) {
                settle({ kind: "tooLarge" });
                return;
            }
            buffer.add(part);
            account.recordReceived(buffer.size(), buffer.held(), clock());
            waitForTurn();
        }

        function waitForTurn(): void {
            if (buffer.size() === length || account.mayRead(length)) {
                tellToSend();
                return;
            }
            if (!memory.mayWait()) {
                settle({ kind: "noRoom" });
                return;
            }
            request.pause();
            // The request alone would take in one more part before it stops.
            request.socket.pause();
        }

        /** Not before: a caller that sends a body that is refused, or has to wait, sends it in vain. */
        function tellToSend(): void {
            if (!isTold) {
                isTold = true;
                sendContinue();
            }
        }

        function onEnd(): void {
            account.markComplete();
            settle({ kind: "whole", body: buffer.take(), release });
        }

        function onCut(): void {
            settle({ kind: "cut" });
        }

        function settle(outcome: BodyOutcome): void {
            account.onResume = () => undefined;
            account.onStalled = () => undefined;
            request.off("data", onData);
            request.off("end", onEnd);
            request.off("close", onCut);
            signal.removeEventListener("abort", onCut);
            if (outcome.kind !== "whole") {
                release();
                // Listeners of the request would hold it until the connection ends.
                buffer.take();
                // Node keeps what nobody reads; the rest is thrown away.
                request.resume();
                request.socket.resume();
            }
            resolve(outcome);
        }
    });
}

/** True if the caller sends its body only once it is told to. */
export function expectsContinue(request: IncomingMessage): boolean {
    return request.headers.expect?.toLowerCase() === "100-continue";
}

/** Bytes that the head announces; undefined if the body comes in chunks. */
export function contentLengthOf(request: IncomingMessage): number | undefined {
    if (request.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(request.headers["content-length"] ?? 0);
}
