/**
 * Finds out whether the other end of a connection is still there. Its close is read only after all data before it, so a
 * connection is known to be open once a poll has found nothing to read.
 *
 * Owns nothing; relies on its caller to abort the signal when the connection ends.
 */

import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { nextPoll } from "@chalkdale/runtime";
import type { Socket } from "node:net";
import type { ConfirmedCaller } from "../servers/exchange.js";

export interface ConnectionCheckOptions {
    readonly clock: Clock;
    /** Aborted once the connection has ended. */
    readonly signal: AbortSignal;
    /** Reading from the connection, if it may be paused meanwhile. */
    readonly reading?: PausableReading;
}

/** Reading that is paused at times: a poll finds nothing then. */
interface PausableReading {
    readonly isPaused: () => boolean;
    /** How often it was paused so far. */
    readonly pauseCount: () => number;
    /** Resumes reading; returns false if it must stay paused. */
    readonly resume: () => boolean;
}

const neverPaused: PausableReading = { isPaused: () => false, pauseCount: () => 0, resume: () => false };

/** Polls that may find data: together they read more than the kernel buffers, so more data comes from a live sender. */
const maxPolls = 8;

/** Resolves with false if the connection has ended, once what has arrived on it was read. Never rejects. */
export async function confirmOpen(
    socket: Socket,
    { clock, reading = neverPaused, signal }: ConnectionCheckOptions,
): Promise<boolean> {
    for (let polls = 0; polls < maxPolls; polls++) {
        const mayFindEnd = !reading.isPaused() || reading.resume();
        const { bytesRead } = socket;
        const pauseCount = reading.pauseCount();
        await nextPoll(clock);
        if (signal.aborted) {
            return false;
        }
        const foundNothing = socket.bytesRead === bytesRead && reading.pauseCount() === pauseCount;
        if (foundNothing || !mayFindEnd) {
            return true;
        }
    }
    return true;
}

/** Milliseconds for which a confirmation counts: longer than a request takes from then to its first byte. */
const maxConfirmationAge = 20;

/** Wraps a check of a caller's connection, and keeps when it last found the connection open. */
export function createConfirmedCaller(clock: Clock, check: () => Promise<boolean>): ConfirmedCaller {
    let confirmedAt: Milliseconds | undefined;
    return {
        isConfirmed: () => confirmedAt !== undefined && clock() - confirmedAt <= maxConfirmationAge,
        async confirm() {
            const isOpen = await check();
            confirmedAt = isOpen ? clock() : undefined;
            return isOpen;
        },
    };
}
