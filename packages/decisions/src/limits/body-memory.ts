/**
 * Bounds the memory of all request bodies that a box holds, from their first byte to the end of their requests.
 *
 * Once the bound is reached, bodies wait: the box stops reading from their callers, and TCP flow control slows the
 * callers down. The oldest unfinished body may always continue, so half-received bodies can't block each other until
 * they time out. A waiting body holds the one chunk that arrived with its head, so the number of waiting bodies is
 * bounded too; a short body never waits. While others wait, a body that makes hardly any progress is stalled and ended;
 * its request has reached no server.
 *
 * Owns the account of the bytes; relies on its user to stop reading a body that has to wait.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** The body memory of one box. */
export interface BodyMemory {
    /** Opens the account of a body that begins to arrive. */
    readonly open: (at: Milliseconds) => BodyAccount;
    /** Ends stalled bodies and resumes waiting ones as far as memory allows. To be called several times a second. */
    readonly sweep: (at: Milliseconds) => void;
    /** Bytes in use. */
    readonly held: () => number;
    /** Number of waiting bodies. */
    readonly waitingCount: () => number;
    /** False once the chunks that came with the heads of waiting bodies could by themselves exceed the bound. */
    readonly mayWait: () => boolean;
}

/** The account of one body. */
export interface BodyAccount {
    /** Records the total bytes received so far and the memory, in bytes, that the body takes up now. */
    readonly recordReceived: (received: number, held: number, at: Milliseconds) => void;
    /** False if the body has to wait; `totalBytes` is its full size, if known. */
    readonly mayRead: (totalBytes?: number) => boolean;
    /** The body has arrived in full; its memory stays in use until `close`. */
    readonly markComplete: () => void;
    /** Releases the memory. Further calls have no effect. */
    readonly close: (at: Milliseconds) => void;
    /** Called when a waiting body may be read again. */
    onResume: () => void;
    /** Called once if the body has stalled. */
    onStalled: () => void;
}

/**
 * Fraction of a box's memory that bodies may take up. A box with 250 MB uses about 60 MB without bodies. An eighth, 31
 * MB, holds five hundred bodies of 60 KB, four times as many as 70 boxes of that size have in progress together.
 */
const bodyMemoryFraction = 1 / 8;
/** Bytes for bodies on a box without a known memory limit. */
const defaultBodyMemory = 64 * 1024 * 1024;
/** Milliseconds in which a body must progress while others wait. Links that lose packets resend within that time. */
const stallTimeout = 1000;
/** Bytes that have to arrive in that time: 32 kbit/s, half the rate of the slowest mobile links. */
const minProgress = 4 * 1024;

/** Returns the bytes that bodies may take up on a box with this memory limit in bytes; undefined if it has no limit. */
export function bodyMemoryLimit(memoryLimit: number | undefined): number {
    return memoryLimit === undefined ? defaultBodyMemory : Math.floor(memoryLimit * bodyMemoryFraction);
}

/**
 * Bytes up to which a body never waits: most such bodies arrive with their heads, so their memory is in use already.
 */
const maxShortBody = 4 * 1024;
/** Bytes that can arrive with a head: the most that is read from a connection at once. */
const maxChunk = 64 * 1024;

interface Entry {
    held: number;
    received: number;
    /** Bytes reserved for what may arrive before the next call of `mayRead`. */
    reserved: number;
    /** The full size of the body; infinite if unknown. */
    totalBytes: number;
    isWaiting: boolean;
    /** Bytes received, and the time, at the last progress of `minProgress` or when the body was last resumed. */
    progress: { readonly received: number; readonly at: number; };
    readonly account: BodyAccount;
}

/** Creates the body memory of a box; nothing is in use yet. */
export function createBodyMemory(maxBytes: number): BodyMemory {
    /** Bodies that have not arrived in full, oldest first. */
    const unfinished = new Set<Entry>();
    let held = 0;
    let reserved = 0;

    return {
        open,
        sweep,
        held: () => held,
        waitingCount: countWaiting,
        mayWait: () => countWaiting() * maxChunk <= maxBytes,
    };

    function countWaiting(): number {
        return [...unfinished].filter(entry => entry.isWaiting).length;
    }

    function open(at: Milliseconds): BodyAccount {
        const entry: Entry = {
            held: 0,
            received: 0,
            reserved: 0,
            totalBytes: Infinity,
            isWaiting: false,
            progress: { received: 0, at },
            account: {
                recordReceived(received, bytes, now) {
                    held += bytes - entry.held;
                    entry.held = bytes;
                    entry.received = received;
                    reserve(entry, 0);
                    if (received - entry.progress.received >= minProgress) {
                        entry.progress = { received, at: now };
                    }
                },
                mayRead(totalBytes = Infinity) {
                    entry.totalBytes = totalBytes;
                    entry.isWaiting = totalBytes > maxShortBody && !tryReserve(entry);
                    return !entry.isWaiting;
                },
                markComplete() {
                    reserve(entry, 0);
                    unfinished.delete(entry);
                },
                close(now) {
                    held -= entry.held;
                    entry.held = 0;
                    reserve(entry, 0);
                    unfinished.delete(entry);
                    resumeWaiting(now);
                },
                onResume: () => undefined,
                onStalled: () => undefined,
            },
        };
        unfinished.add(entry);
        return entry.account;
    }

    function tryReserve(entry: Entry): boolean {
        const [oldest] = unfinished;
        reserve(entry, 0);
        if (held + reserved >= maxBytes && entry !== oldest) {
            return false;
        }
        reserve(entry, Math.min(maxChunk, Math.max(0, entry.totalBytes - entry.received)));
        return true;
    }

    function reserve(entry: Entry, bytes: number): void {
        reserved += bytes - entry.reserved;
        entry.reserved = bytes;
    }

    /** Resumes the waiting bodies for which there is memory. Their stall timeouts start again. */
    function resumeWaiting(at: Milliseconds): void {
        for (const entry of [...unfinished]) {
            if (!entry.isWaiting || !tryReserve(entry)) {
                continue;
            }
            entry.isWaiting = false;
            entry.progress = { received: entry.received, at };
            entry.account.onResume();
        }
    }

    function sweep(at: Milliseconds): void {
        const entries = [...unfinished];
        if (entries.some(entry => entry.isWaiting)) {
            entries.filter(entry => !entry.isWaiting && hasStalled(entry, at)).forEach(entry => {
                entry.account.markComplete();
                entry.account.onStalled();
            });
        }
        resumeWaiting(at);
    }

    function hasStalled(entry: Entry, at: Milliseconds): boolean {
        return milliseconds(at - entry.progress.at) >= stallTimeout;
    }
}
