/**
 * The log of a box, with a maximum of lines a second for each event.
 *
 * Owns the counts of suppressed lines; relies on its owner to call `report`.
 */

import { createRateLimitedLog, type Log } from "@chalkdale/runtime";

/** Lines a second for each event; events that explain failures get more. */
const linesPerSecond = 10;
const linesPerSecondByEvent = {
    "request.served": 3,
    "request.refused": 30,
    "attempt.failed": 20,
    "server.endedUnder": 20,
    "server.cold": 40,
    "server.leaving": 40,
    "server.restarted": 40,
    "server.warm": 40,
};

/** Returns a log that suppresses the lines of an event above its rate. */
export function createBoxLog(log: Log) {
    return createRateLimitedLog(log, { linesPerSecond, byEvent: linesPerSecondByEvent });
}
