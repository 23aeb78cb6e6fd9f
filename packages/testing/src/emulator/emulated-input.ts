/**
 * What arrives at an emulated box, and when the box reads it: at once while it runs, later if it was paused. A poll of
 * its event loop reads one piece of each connection, so the end of a connection is read after the data before it.
 *
 * Owns the connections with unread data; relies on the event queue for time.
 */

import type { EventQueue } from "./event-queue.js";

/** A connection to a box, with what it has not read. */
export interface EmulatedConnection {
    readonly unread: (() => void)[];
}

/** The input of one box. */
export interface EmulatedInput {
    /** Data or an end arrives on a connection; `onRead` runs once it is read. */
    readonly receive: (connection: EmulatedConnection, onRead: () => void) => void;
    /** Runs `action` once a poll has found nothing to read on the connection; at once if nothing is unread anywhere. */
    readonly confirm: (connection: EmulatedConnection, action: () => void) => void;
    readonly setPaused: (isPaused: boolean) => void;
}

export interface EmulatedInputOptions {
    readonly events: EventQueue;
    /** False for a box that acts on what it has read, whatever is unread. */
    readonly readsBeforeSending: boolean;
}

/** Milliseconds that a box takes for each piece of data that it reads after a pause. */
const readDuration = 0.2;

/** Creates the input of a box that runs. */
export function createEmulatedInput({ events, readsBeforeSending }: EmulatedInputOptions): EmulatedInput {
    const waiting = new Set<EmulatedConnection>();
    let confirmations: { readonly connection: EmulatedConnection; readonly action: () => void; }[] = [];
    let isPaused = false;
    let isPolling = false;

    return {
        receive(connection, onRead) {
            if (!isPaused && waiting.size === 0) {
                onRead();
                return;
            }
            connection.unread.push(onRead);
            waiting.add(connection);
            schedulePoll(0);
        },
        confirm(connection, action) {
            if (!readsBeforeSending || !isPaused && waiting.size === 0) {
                action();
                return;
            }
            confirmations.push({ connection, action });
            schedulePoll(0);
        },
        setPaused(paused) {
            isPaused = paused;
            schedulePoll(0);
        },
    };

    function schedulePoll(readCount: number): void {
        if (!isPolling && !isPaused && waiting.size + confirmations.length > 0) {
            isPolling = true;
            events.after((readCount + 1) * readDuration, poll);
        }
    }

    function poll(): void {
        isPolling = false;
        if (isPaused) {
            return;
        }
        const readable = [...waiting];
        const confirmed = confirmations.filter(({ connection }) => !waiting.has(connection));
        confirmations = confirmations.filter(({ connection }) => waiting.has(connection));
        for (const connection of readable) {
            const onRead = connection.unread.shift();
            if (connection.unread.length === 0) {
                waiting.delete(connection);
            }
            onRead?.();
        }
        confirmed.forEach(({ action }) => action());
        schedulePoll(readable.length);
    }
}
