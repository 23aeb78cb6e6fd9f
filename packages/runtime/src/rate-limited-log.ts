/**
 * Bounds how many lines a second each event may write. What is left out is
 * counted in one line a second and event.
 *
 * Owns the counts since the last report; relies on its owner to report each second.
 */

import type { Log, LogFields, LogLevel } from "./log.js";

/** A log whose frequent events are bounded. */
export interface RateLimitedLog extends Log {
    /** Writes the counts of lines left out; due about once a second. */
    readonly report: () => void;
}

export interface LogRateLimitOptions {
    /** Lines a second for each event at most. */
    readonly linesPerSecond: number;
    /** Other bounds for some events. */
    readonly byEvent?: Readonly<Record<string, number>>;
}

/** Wraps a log. The seconds are those between calls of `report`. */
export function createRateLimitedLog(log: Log, options: LogRateLimitOptions): RateLimitedLog {
    const written = new Map<string, number>();
    const at = (level: LogLevel) => (event: string, fields?: LogFields) => {
        const count = (written.get(event) ?? 0) + 1;
        written.set(event, count);
        if (count <= mostOf(event)) {
            log[level](event, fields);
        }
    };

    return {
        error: at("error"),
        warn: at("warn"),
        info: at("info"),
        report() {
            for (const [event, count] of written) {
                const lines = count - mostOf(event);
                if (lines > 0) {
                    log.warn("log.leftOut", { reason: "budget", of: event, lines });
                }
            }
            written.clear();
        },
    };

    function mostOf(event: string): number {
        return options.byEvent?.[event] ?? options.linesPerSecond;
    }
}
