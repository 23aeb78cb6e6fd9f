/**
 * Bounds the memory of all bodies that a box holds: of requests from their first byte to the end of the request, of
 * each part of an answer until it has left for the caller.
 *
 * Once the bound is reached, bodies wait: the box stops reading from their senders, and TCP flow control slows these
 * down. The oldest unfinished body may continue, so half-received bodies can't block each other until they time out,
 * unless complete ones fill the memory. Bodies of requests leave a fifth of it, so that answers, which free them, can
 * be read. A waiting body holds the one chunk that arrived with its head, so the number of waiting bodies is bounded
 * too; a short body never waits.
 *
 * While others wait, a body that makes hardly any progress has stalled. That of a request is ended; the request has
 * reached no server. So is that of an answer which its caller doesn't read.
 *
 * Owns the account of the bytes; relies on its user to stop reading a body that has to wait.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** The body memory of one box. */
export interface BodyMemory {
    /** Opens the account of a body that begins to arrive. */
    readonly open: (part: MessagePart, at: Milliseconds) => BodyAccount;
    /** Ends stalled bodies and resumes waiting ones as far as memory allows. To be called several times a second. */
    readonly sweep: (at: Milliseconds) => void;
    /** Bytes in use. */
    readonly held: () => number;
    /** Number of waiting bodies. */
    readonly waitingCount: () => number;
    /** False once the chunks that came with the heads of waiting bodies could by themselves exceed the bound. */
    readonly mayWait: () => boolean;
}

/** Whose body it is. */
type MessagePart = "request" | "answer";

/** The account of one body. */
export interface BodyAccount {
    /** Records the total bytes received so far and the memory, in bytes, that the body takes up now. */
    readonly recordReceived: (received: number, held: number, at: Milliseconds) => void;
    /** False if the body has to wait; `totalBytes` is its full size, if known. */
    readonly mayRead: (totalBytes?: number) => boolean;
    /** The body has arrived in full; its memory stays in use until `close`. */
    readonly markComplete: () => void;
    /** The complete body leaves for the caller; the memory of the `sent` bytes that have left the process is released. */
    readonly recordSent: (sent: number, at: Milliseconds) => void;
    /** Releases the memory. Further calls, of any kind, have no effect. */
    readonly close: (at: Milliseconds) => void;
    /** Called when a waiting body may be read again. */
    onResume: () => void;
    /** Called if the body has stalled, while it arrives or while it is sent. */
    onStalled: () => void;
}

/**
 * Fraction of a box's memory that bodies may take up. A box with 250 MB uses about 60 MB without bodies. An eighth, 31
 * MB, holds five hundred bodies of 60 KB, four times as many as 70 boxes of that size have in progress together.
 */
const bodyMemoryFraction = 1 / 8;
/** Bytes for bodies on a box without a known memory limit. */
const defaultBodyMemory = 64 * 1024 * 1024;
/** Bytes for bodies of requests and answers together, as a multiple of those for requests. */
const totalFactor = 1.25;
/** Milliseconds in which a body must progress while others wait. Links that lose packets resend within that time. */
const stallTimeout = 1000;
/** Bytes that have to arrive in that time: 32 kbit/s, half the rate of the slowest mobile links. */
const minProgress = 4 * 1024;

/**
 * Milliseconds in which some bytes of an answer must leave while others wait. The kernel takes up to 4 MB of an answer
 * at once, and a slow caller needs seconds for these.
 */
const sendTimeout = 10_000;

/**
 * Returns the bytes that bodies of requests may take up on a box with this memory limit in bytes; undefined if it has no
 * limit.
 */
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
    readonly part: MessagePart;
    held: number;
    received: number;
    /** Bytes reserved for what may arrive before the next call of `mayRead`. */
    reserved: number;
    /** The full size of the body; infinite if unknown. */
    totalBytes: number;
    isWaiting: boolean;
    isComplete: boolean;
    isClosed: boolean;
    /** When the latest bytes left for the caller; undefined before the body is sent. */
    sentAt: Milliseconds | undefined;
    sent: number;
    /** Bytes received, and the time, at the last progress of `minProgress` or when the body was last resumed. */
    progress: { readonly received: number; readonly at: number; };
    readonly account: BodyAccount;
}

/**
 * Creates the body memory of a box; nothing is in use yet. Bodies of requests may take up `maxBytes`, all bodies a
 * quarter more.
 */
export function createBodyMemory(maxBytes: number): BodyMemory {
    const maxTotal = totalFactor * maxBytes;
    /** Bodies that have not arrived in full, oldest first. */
    const unfinished = new Set<Entry>();
    /** Complete bodies that are sent. */
    const leaving = new Set<Entry>();
    const held: Record<MessagePart, number> = { request: 0, answer: 0 };
    const reserved: Record<MessagePart, number> = { request: 0, answer: 0 };
    let completeBytes = 0;

    return {
        open,
        sweep,
        held: () => held.request + held.answer,
        waitingCount: countWaiting,
        mayWait: () => countWaiting() * maxChunk <= maxBytes,
    };

    function countWaiting(): number {
        return [...unfinished].filter(entry => entry.isWaiting).length;
    }

    function open(part: MessagePart, at: Milliseconds): BodyAccount {
        const entry: Entry = {
            part,
            held: 0,
            received: 0,
            reserved: 0,
            totalBytes: Infinity,
            isWaiting: false,
            isComplete: false,
            isClosed: false,
            sentAt: undefined,
            sent: 0,
            progress: { received: 0, at },
            account: {
                recordReceived(received, bytes, now) {
                    if (entry.isClosed) {
                        return;
                    }
                    held[part] += bytes - entry.held;
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
                    if (entry.isComplete || entry.isClosed) {
                        return;
                    }
                    entry.isComplete = true;
                    completeBytes += entry.held;
                    reserve(entry, 0);
                    unfinished.delete(entry);
                },
                recordSent(sent, now) {
                    if (entry.isClosed || entry.sentAt !== undefined && sent <= entry.sent) {
                        return;
                    }
                    releaseSent(entry, sent - entry.sent);
                    entry.sent = sent;
                    entry.sentAt = now;
                    leaving.add(entry);
                    resumeWaiting(now);
                },
                close(now) {
                    if (entry.isClosed) {
                        return;
                    }
                    entry.isClosed = true;
                    completeBytes -= entry.isComplete ? entry.held : 0;
                    held[part] -= entry.held;
                    reserve(entry, 0);
                    unfinished.delete(entry);
                    leaving.delete(entry);
                    resumeWaiting(now);
                },
                onResume: () => undefined,
                onStalled: () => undefined,
            },
        };
        unfinished.add(entry);
        return entry.account;
    }

    function releaseSent(entry: Entry, sent: number): void {
        const released = Math.min(entry.held, sent);
        entry.held -= released;
        held[entry.part] -= released;
        completeBytes -= entry.isComplete ? released : 0;
    }

    function tryReserve(entry: Entry): boolean {
        const [oldest] = unfinished;
        reserve(entry, 0);
        if (isFull(entry.part) && (entry !== oldest || completeBytes >= maxTotal)) {
            return false;
        }
        reserve(entry, Math.min(maxChunk, Math.max(0, entry.totalBytes - entry.received)));
        return true;
    }

    function isFull(part: MessagePart): boolean {
        const total = held.request + held.answer + reserved.request + reserved.answer;
        return total >= maxTotal || part === "request" && held.request + reserved.request >= maxBytes;
    }

    function reserve(entry: Entry, bytes: number): void {
        reserved[entry.part] += bytes - entry.reserved;
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
            [...leaving].filter(({ sentAt }) => at - (sentAt ?? at) >= sendTimeout).forEach(entry => {
                entry.account.onStalled();
            });
        }
        resumeWaiting(at);
    }

    function hasStalled(entry: Entry, at: Milliseconds): boolean {
        return milliseconds(at - entry.progress.at) >= stallTimeout;
    }
}
