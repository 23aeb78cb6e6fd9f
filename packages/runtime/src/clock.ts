/**
 * The monotonic clock of the process, and the name of its one life.
 */

import { type Clock, type IncarnationId, incarnationId, milliseconds } from "@chalkdale/kernel";
import { randomBytes } from "node:crypto";

/** Monotonic milliseconds since the process started. Goes on while the process is stopped. */
export const systemClock: Clock = () => milliseconds(performance.now());

/** Bytes of chance, so that two starts in one millisecond differ. */
const randomPart = 4;
/** Digits of a time in base 36, enough until the year 5188, so that texts sort by time. */
const timeDigits = 9;

/**
 * Returns a new incarnation: the wall-clock time in base 36 and a random
 * part. The order of the texts is that of the start times, as far as the
 * boxes' wall clocks agree; nothing relies on it but the preference for the
 * newer of two processes of one name.
 */
export function newIncarnation(): IncarnationId {
    const time = Date.now().toString(36).padStart(timeDigits, "0");
    return incarnationId(`${time}-${randomBytes(randomPart).toString("hex")}`);
}
