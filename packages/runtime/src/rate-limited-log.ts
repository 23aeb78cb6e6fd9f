/**
 * Limits how many lines a second are written for each event. The number of lines
 * dropped is reported in one line a second for each event.
 *
 * Owns the counts since the last report; relies on its owner to call `report`
 * each second.
 */

import type { Log, LogFields, LogLevel } from "./log.js";

/** A log with a rate limit for each event. */
export interface RateLimitedLog extends Log {
    /** Writes the numbers of dropped lines and starts the next second; to be called once a second. */
    readonly report: () => void;
}

export interface LogRateLimitOptions {
    /** Maximum number of lines a second for each event. */
    readonly linesPerSecond: number;
    /** Limits that replace `linesPerSecond` for single events. */
    readonly byEvent?: Readonly<Record<string, number>>;
}

/** Wraps a log in rate limits. Each second lasts from one call of `report` to the next. */
export function createRateLimitedLog(log: Log, options: LogRateLimitOptions): RateLimitedLog {
    const written = new Map<string, number>();
    const at = (level: LogLevel) => (event: string, fields?: LogFields) => {
        const count = (written.get(event) ?? 0) + 1;
        written.set(event, count);
        if (count <= limitOf(event)) {
            log[level](event, fields);
        }
    };

    return {
        error: at("error"),
        warn: at("warn"),
        info: at("info"),
        report() {
            for (const [event, count] of written) {
                const lines = count - limitOf(event);
                if (lines > 0) {
                    log.warn("log.leftOut", { reason: "budget", of: event, lines });
                }
            }
            written.clear();
        },
    };

    function limitOf(event: string): number {
        return options.byEvent?.[event] ?? options.linesPerSecond;
    }
}
