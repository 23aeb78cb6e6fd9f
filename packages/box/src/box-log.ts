/**
 * The log of a box: how many lines a second each event may write.
 *
 * Owns the counts of lines that were left out; relies on whoever calls `report`.
 */

import { createRateLimitedLog, type Log } from "@chalkdale/runtime";

/** Lines a second for each event; what matters most when something fails gets more. */
const linesPerSecond = 10;
const linesOfEvent = {
    "request.served": 3,
    "request.refused": 30,
    "attempt.failed": 20,
    "server.endedUnder": 20,
    "server.leaving": 40,
    "server.restarted": 40,
};

/** Returns the log of a box, which bounds what it writes. */
export function createBoxLog(log: Log) {
    return createRateLimitedLog(log, { linesPerSecond, byEvent: linesOfEvent });
}
