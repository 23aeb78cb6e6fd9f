/**
 * The clocks of the process, and the name of its one life.
 */

import { type Clock, type IncarnationId, incarnationId, milliseconds } from "@chalkdale/kernel";
import { randomBytes } from "node:crypto";

/** Monotonic milliseconds since the process started. Goes on while the process is stopped. */
export const monotonicClock: Clock = () => milliseconds(performance.now());

/**
 * Milliseconds by which the time of day must get ahead of the steady clock at once to stand for a suspension: far more than the clocks'
 * drift and their correction between two readings, and less than any bound on changes.
 */
const leastSuspension = 500;

/**
 * Creates the clock for ages of what this box was told. While the machine is suspended the steady clock stands still and what the box
 * believes grows old all the same; the time of day goes on. A step of the time of day looks alike: forward, everything is
 * confirmed once more than it had to be; back, nothing happens.
 *
 * @param steady the clock that goes on while the process is stopped, and not while the machine is suspended.
 * @param timeOfDay Unix milliseconds.
 */
export function createSuspendAwareClock(steady: Clock = monotonicClock, timeOfDay: () => number = Date.now): Clock {
    let suspendedFor = 0;
    let lead = timeOfDay() - steady();

    return () => {
        const now = steady();
        const nextLead = timeOfDay() - now;
        if (nextLead - lead >= leastSuspension) {
            suspendedFor += nextLead - lead;
        }
        lead = nextLead;
        return milliseconds(now + suspendedFor);
    };
}

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
