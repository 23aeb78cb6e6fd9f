/**
 * Bounds the memory of all request bodies that a box holds, from their first byte to the end of their requests.
 *
 * Beyond the bound bodies wait: the box reads no more from their callers, and their connections push back. The oldest
 * unfinished body reads on, so that bodies which are all half in can't wait for each other until their time is over.
 * A body that waits holds the one part that came with its head, so only so many may wait; a short one never does.
 * While others wait, a body that hardly comes on is stalled and loses its place; its request has reached no server.
 *
 * Owns the account of the bytes; relies on its user to read no more for a body that waits.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** The account of one box. */
export interface BodyMemory {
    /** Opens the account of a body that begins to come. */
    readonly open: (at: Milliseconds) => BodyAccount;
    /** Ends what has stalled, and hands their turn to those that may read. Due some times a second. */
    readonly sweep: (at: Milliseconds) => void;
    /** Bytes held now. */
    readonly held: () => number;
    /** Bodies that wait. */
    readonly waitingCount: () => number;
    /** False once so many wait that what came with their heads takes up as much again as all bodies may. */
    readonly mayWait: () => boolean;
}

/** The part of one body. */
export interface BodyAccount {
    /** Counts bytes that were received and the memory, in bytes, that the body takes up now. */
    readonly recordReceived: (received: number, held: number, at: Milliseconds) => void;
    /** False while the body must wait; `announced` is its whole size in bytes, if it was told. */
    readonly mayRead: (announced?: number) => boolean;
    /** The body is in, and its memory stays in use. */
    readonly markComplete: () => void;
    /** Gives the memory back. Later calls change nothing. */
    readonly close: (at: Milliseconds) => void;
    /** Called when the turn comes after a wait. */
    onResume: () => void;
    /** Called once if the body has stalled. */
    onStalled: () => void;
}

/**
 * Part of a box's memory that bodies may take up. A box of 250 MB takes some 60 MB without them; 31 MB are five hundred bodies
 * of 60 KB, four times what the 70 boxes of such a deployment have in progress together.
 */
const partForBodies = 1 / 8;
/** Bytes for bodies where no memory limit is known. */
const bytesWithoutLimit = 64 * 1024 * 1024;
/** Milliseconds in which a body must come on while others wait. A link that lost packets resends within that. */
const stallAfter = 1000;
/** Bytes by which it must: 32 kbit/s, half of what the slowest of mobile links give. */
const leastProgress = 4 * 1024;

/** Returns the bytes that bodies may take up on a box with a memory limit in bytes; undefined if it has none. */
export function bodyMemoryLimit(memoryLimit: number | undefined): number {
    return memoryLimit === undefined ? bytesWithoutLimit : Math.floor(memoryLimit * partForBodies);
}

/** Bytes up to which a body does not wait: most have come with their heads, and memory was taken for them already. */
const shortBody = 4 * 1024;
/** Bytes that come with a head at most: what is read from a connection at once. */
const readAtOnce = 64 * 1024;

interface Entry {
    held: number;
    received: number;
    /** Bytes that may come before the body is asked about again: its turn was given for them. */
    promised: number;
    /** Its whole size, if it was told. */
    announced: number;
    isWaiting: boolean;
    /** What was received, and when, at the last step forward that counts. */
    mark: { readonly received: number; readonly at: number; };
    readonly account: BodyAccount;
}

/** Creates the account; it holds nothing. `most` is in bytes. */
export function createBodyMemory(most: number): BodyMemory {
    /** Bodies that are not in yet, the oldest first. */
    const unfinished = new Set<Entry>();
    let held = 0;
    let promised = 0;

    return {
        open,
        sweep,
        held: () => held,
        waitingCount: waiting,
        mayWait: () => waiting() * readAtOnce <= most,
    };

    function waiting(): number {
        return [...unfinished].filter(entry => entry.isWaiting).length;
    }

    function open(at: Milliseconds): BodyAccount {
        const entry: Entry = {
            held: 0,
            received: 0,
            promised: 0,
            announced: Infinity,
            isWaiting: false,
            mark: { received: 0, at },
            account: {
                recordReceived(received, bytes, now) {
                    held += bytes - entry.held;
                    entry.held = bytes;
                    entry.received = received;
                    promise(entry, 0);
                    if (received - entry.mark.received >= leastProgress) {
                        entry.mark = { received, at: now };
                    }
                },
                mayRead(announced = Infinity) {
                    entry.announced = announced;
                    entry.isWaiting = announced > shortBody && !takeTurn(entry);
                    return !entry.isWaiting;
                },
                markComplete() {
                    promise(entry, 0);
                    unfinished.delete(entry);
                },
                close(now) {
                    held -= entry.held;
                    entry.held = 0;
                    promise(entry, 0);
                    unfinished.delete(entry);
                    giveTurns(now);
                },
                onResume: () => undefined,
                onStalled: () => undefined,
            },
        };
        unfinished.add(entry);
        return entry.account;
    }

    function takeTurn(entry: Entry): boolean {
        const [oldest] = unfinished;
        promise(entry, 0);
        if (held + promised >= most && entry !== oldest) {
            return false;
        }
        promise(entry, Math.min(readAtOnce, Math.max(0, entry.announced - entry.received)));
        return true;
    }

    function promise(entry: Entry, bytes: number): void {
        promised += bytes - entry.promised;
        entry.promised = bytes;
    }

    /** Those whose turn it is begin a new time to come on. */
    function giveTurns(at: Milliseconds): void {
        for (const entry of [...unfinished]) {
            if (!entry.isWaiting || !takeTurn(entry)) {
                continue;
            }
            entry.isWaiting = false;
            entry.mark = { received: entry.received, at };
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
        giveTurns(at);
    }

    function hasStalled(entry: Entry, at: Milliseconds): boolean {
        return milliseconds(at - entry.mark.at) >= stallAfter;
    }
}
