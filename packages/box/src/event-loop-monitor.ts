/**
 * Measures for how long the event loop of this process is held up: while the process is paused, lacks processor time or
 * is busy, what arrives stays unread.
 *
 * Owns a timer and a subscription, which end with the signal, and the delays since the last report.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import { subscribe, unsubscribe } from "node:diagnostics_channel";

/** Delays of one event loop. */
export interface EventLoopMonitor {
    /** Upper bound of the time for which bytes that are read now were unread; 0 while the loop is not held up. */
    readonly unreadFor: () => Milliseconds;
    /** Logs the delays since the previous report, if there were any. */
    readonly report: () => void;
    /** Sum of all delays since the start. */
    readonly totalDelay: () => Milliseconds;
}

/** Milliseconds between two beats of the timer. */
const beatInterval = 50;
/** Milliseconds for which the loop reads long input of open connections after a delay, if it is never idle. */
const maxBacklogTime = 1000;
/** Milliseconds of delay from which the loop counts as held up. */
const minDelay = milliseconds(100);

/**
 * Polls without a new connection after which all requests that had arrived are read: a poll accepts one connection of a
 * listener, and its request is read in the next one.
 */
const pollsThatReadAll = 4;
/** Connections that wait for a listener at most, by default of Node.js: after as many, only later ones are left. */
const maxWaitingConnections = 511;
/** Channel of Node.js on which each accepted connection is announced. */
const acceptedChannel = "net.server.socket";

/** What arrived during a delay and may be unread. Times are those of the clock. */
interface Backlog {
    /** The beat before the delay, or a later time from which all that is unread arrived. */
    arrivesFrom: Milliseconds;
    /** The late beat, which may run before the sockets are read. */
    readonly since: Milliseconds;
    /** Idle time of the loop until then, in milliseconds: once it grows, nothing is unread. */
    readonly idleBefore: number;
    /** Polls since then, counted anew with each accepted connection until `pollsThatReadAll` are reached. */
    polls: number;
    /** From when on `accepted` counts accepted connections. */
    countedFrom: Milliseconds;
    accepted: number;
}

/** Starts the monitor. */
export function startEventLoopMonitor(clock: Clock, log: Log, signal: AbortSignal): EventLoopMonitor {
    let latestBeat = clock();
    /** The latest delay, until the loop has read its backlog. */
    let backlog: Backlog | undefined;
    let total = 0;
    let sinceReport = { count: 0, longest: 0 };
    const timer = setInterval(onBeat, beatInterval).unref();
    subscribe(acceptedChannel, onAccepted);
    signal.addEventListener("abort", () => {
        clearInterval(timer);
        unsubscribe(acceptedChannel, onAccepted);
    }, { once: true });

    return {
        unreadFor() {
            const unread = milliseconds(clock() - (backlog?.arrivesFrom ?? latestBeat));
            return unread >= minDelay ? unread : milliseconds(0);
        },
        report() {
            const { count, longest } = sinceReport;
            if (count > 0) {
                log.info("eventLoop.delayed", { count, longest: Math.round(longest), total: Math.round(total) });
            }
            sinceReport = { count: 0, longest: 0 };
        },
        totalDelay: () => milliseconds(total),
    };

    function onBeat(): void {
        const now = clock();
        const delay = now - latestBeat - beatInterval;
        const { idle } = performance.eventLoopUtilization();
        const hasWaiting = backlog !== undefined && hasWaitingConnections(backlog);
        if (backlog !== undefined && hasEnded(backlog, idle, hasWaiting)) {
            backlog = undefined;
        }
        if (delay >= minDelay) {
            const earlier = hasWaiting ? backlog : undefined;
            backlog = {
                arrivesFrom: earlier?.arrivesFrom ?? latestBeat,
                since: now,
                idleBefore: idle,
                polls: 0,
                countedFrom: earlier?.countedFrom ?? now,
                accepted: earlier?.accepted ?? 0,
            };
            countPolls(backlog);
            total += delay;
            sinceReport = { count: sinceReport.count + 1, longest: Math.max(sinceReport.longest, delay) };
        }
        latestBeat = now;
    }

    /** True once everything that arrived before the beat was read. Only time in which the loop runs counts. */
    function hasEnded({ idleBefore, since }: Backlog, idle: number, hasWaiting: boolean): boolean {
        return idle > idleBefore || !hasWaiting && latestBeat - since >= maxBacklogTime;
    }

    function onAccepted(): void {
        if (backlog === undefined) {
            return;
        }
        backlog.accepted += 1;
        if (backlog.accepted > maxWaitingConnections) {
            backlog.arrivesFrom = backlog.countedFrom;
            backlog.countedFrom = clock();
            backlog.accepted = 0;
        }
        if (backlog.polls < pollsThatReadAll) {
            backlog.polls = 0;
        }
    }
}

/** True if connections that arrived before the beat may not have been accepted and read. */
function hasWaitingConnections({ polls }: Backlog): boolean {
    return polls < pollsThatReadAll;
}

/** Counts polls of the event loop: one ends before each run of `setImmediate` callbacks. */
function countPolls(backlog: Backlog): void {
    setImmediate(() => {
        backlog.polls += 1;
        if (hasWaitingConnections(backlog)) {
            countPolls(backlog);
        }
    });
}
