/**
 * Measures for how long the event loop of this process is held up: while the process is paused, lacks processor time or
 * is busy, what arrives stays unread.
 *
 * Owns a timer, which stops with the signal, and the delays since the last report.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";

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
/** Beats after a delay in which what is read may still have arrived during it. */
const backlogBeats = 4;
/** Milliseconds of delay from which the loop counts as held up. */
const minDelay = milliseconds(100);

/** Starts the monitor. */
export function startEventLoopMonitor(clock: Clock, log: Log, signal: AbortSignal): EventLoopMonitor {
    let latestBeat = clock();
    /** The beat before a late one, until the backlog of the delay is read: the timer may run before the sockets are. */
    let beatBeforeDelay: Milliseconds | undefined;
    let beatsSinceDelay = 0;
    let total = 0;
    let sinceReport = { count: 0, longest: 0 };
    const timer = setInterval(onBeat, beatInterval).unref();
    signal.addEventListener("abort", () => clearInterval(timer), { once: true });

    return {
        unreadFor() {
            const unread = milliseconds(clock() - (beatBeforeDelay ?? latestBeat));
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
        beatsSinceDelay += 1;
        if (beatsSinceDelay >= backlogBeats) {
            beatBeforeDelay = undefined;
        }
        if (delay >= minDelay) {
            beatBeforeDelay ??= latestBeat;
            beatsSinceDelay = 0;
            total += delay;
            sinceReport = { count: sinceReport.count + 1, longest: Math.max(sinceReport.longest, delay) };
        }
        latestBeat = now;
    }
}
