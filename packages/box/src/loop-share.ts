/**
 * Bounds what one connection may cost the event loop, whether it is a caller's or a server's.
 *
 * A connection whose bytes take long to handle, such as chunks of one byte without end, would otherwise keep the loop
 * from all others, and from the timers that would end its request. Its reading is paused for as long as its share asks
 * for; connections that need little time are never paused. One that uses much time at once lets the loop turn in
 * between, since Node accepts one new connection in each turn.
 *
 * Owns the time that each connection owes; relies on its users to run what handles received bytes through it.
 */

import { type Clock, milliseconds } from "@chalkdale/kernel";
import { Socket } from "node:net";
import { isPausedFor, pauseReading, resumeReading } from "./backpressure.js";

/** The event loop's time, as connections may use it. */
export interface LoopShare {
    /** Runs what handles received bytes of a connection, and charges the connection with the time. */
    readonly run: (socket: Socket, handle: () => void) => void;
    /** Charges a connection with the time that its present `data` listeners take, and no longer with that of others. */
    readonly meter: (socket: Socket) => void;
    /** Connections that are paused now. */
    readonly pausedCount: () => number;
}

/** What a connection has used. Times are milliseconds. */
interface Usage {
    owed: number;
    /** What it owes since it last let the loop turn; a part of `owed`. */
    owedInTurn: number;
    at: number;
}

/** Fraction of the loop's time for all connections that have used more than `burst`. */
const totalShare = 0.25;
/** Milliseconds that a connection may use at once. */
const burst = 25;
/** Milliseconds that a connection may use before it lets the loop turn; one read alone never reaches them. */
const turnBurst = 5;
/**
 * Milliseconds charged for one read at most: a process that is held up while it handles a read must not pause the
 * connection for that.
 */
const maxCharge = 20;

/**
 * Bytes that are handed on at once. One read has up to 64 KB, which may be thousands of tiny chunks; the stream keeps the
 * parts behind the one that uses up the share.
 */
const maxPartBytes = 8 * 1024;

/** Creates the share of a box's loop; no connection owes anything. */
export function createLoopShare(clock: Clock): LoopShare {
    const usages = new WeakMap<Socket, Usage>();
    let pausedCount = 0;
    let startedAt = milliseconds(0);

    return {
        run(socket, handle) {
            const start = clock();
            handle();
            charge(socket, clock() - start);
        },
        meter(socket) {
            // Shared functions: a closure for each connection would cost memory while it is idle.
            socket.removeListener("data", onReadStart);
            socket.removeListener("data", onReadEnd);
            socket.prependListener("data", onReadStart);
            socket.on("data", onReadEnd);
            socket.push = pushInParts;
        },
        pausedCount: () => pausedCount,
    };

    function onReadStart(): void {
        startedAt = clock();
    }

    function onReadEnd(this: Socket): void {
        charge(this, clock() - startedAt);
    }

    function charge(socket: Socket, duration: number): void {
        const now = clock();
        const usage = usages.get(socket) ?? { owed: 0, owedInTurn: 0, at: now };
        const paidOff = (now - usage.at) * totalShare;
        usage.owed = Math.max(0, usage.owed - paidOff) + Math.min(maxCharge, duration);
        usage.owedInTurn = Math.max(0, usage.owedInTurn - paidOff) + Math.min(turnBurst, duration);
        usage.at = now;
        usages.set(socket, usage);
        if (socket.destroyed || isPausedFor(socket, "loopShare")) {
            return;
        }
        if (usage.owed > burst) {
            pause(socket, usage);
        }
        else if (usage.owedInTurn > turnBurst && !isPausedFor(socket, "loopTurn")) {
            pauseForTurn(socket, usage);
        }
    }

    function pauseForTurn(socket: Socket, usage: Usage): void {
        pauseReading(socket, "loopTurn");
        setImmediate(() => {
            usage.owedInTurn = 0;
            resumeReading(socket, "loopTurn");
        });
    }

    function pause(socket: Socket, usage: Usage): void {
        pausedCount += 1;
        pauseReading(socket, "loopShare");
        const timer = setTimeout(end, usage.owed / totalShare * pausedCount).unref();
        socket.once("close", end);

        function end(): void {
            clearTimeout(timer);
            socket.removeListener("close", end);
            pausedCount -= 1;
            usage.owed = 0;
            usage.owedInTurn = 0;
            usage.at = clock();
            resumeReading(socket, "loopShare");
        }
    }
}

/** Hands on what a socket has read in parts, between which it can be paused. */
function pushInParts(this: Socket, chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    const push = Socket.prototype.push;
    if (chunk === null || chunk.length <= maxPartBytes) {
        return push.call(this, chunk, encoding);
    }
    let hasRoom = true;
    for (let start = 0; start < chunk.length; start += maxPartBytes) {
        hasRoom = push.call(this, chunk.subarray(start, start + maxPartBytes), encoding);
    }
    return hasRoom;
}
