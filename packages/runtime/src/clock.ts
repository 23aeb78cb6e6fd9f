/**
 * The process's clocks, and ids for its incarnations.
 */

import { type Clock, type IncarnationId, incarnationId, milliseconds } from "@chalkdale/kernel";
import { randomBytes } from "node:crypto";

/** Monotonic milliseconds since the process started. It advances while the process is paused (SIGSTOP). */
export const monotonicClock: Clock = () => milliseconds(performance.now());

/**
 * Milliseconds that the wall clock must gain on the monotonic clock between two readings to count as a suspension. This
 * is far more than the clocks' drift and its correction between two readings, and less than any bound on the age of
 * state.
 */
const minSuspension = 500;

/**
 * Creates the monotonic clock that measures the age of state received from the store and from other boxes. It includes
 * the time in which the machine was suspended: the process's monotonic clock stops then, but received state becomes
 * outdated all the same. A forward step of the wall clock cannot be distinguished from a suspension, and only causes
 * state to be confirmed once more than needed; a backward step has no effect.
 *
 * @param monotonic a clock that advances while the process is paused, but not while the machine is suspended.
 * @param wallClock returns Unix milliseconds.
 */
export function createSuspendAwareClock(monotonic: Clock = monotonicClock, wallClock: () => number = Date.now): Clock {
    let suspendedFor = 0;
    let offset = wallClock() - monotonic();

    return () => {
        const now = monotonic();
        const newOffset = wallClock() - now;
        if (newOffset - offset >= minSuspension) {
            suspendedFor += newOffset - offset;
        }
        offset = newOffset;
        return milliseconds(now + suspendedFor);
    };
}

/** Random bytes in an incarnation, to distinguish starts within one millisecond. */
const randomByteCount = 4;
/** Base-36 digits of a padded time, enough until the year 5188; padded texts sort by time. */
const timeDigits = 9;

/**
 * Returns a new incarnation id: the wall-clock time in base 36 and a random
 * suffix. Ids sort by start time as far as the boxes' wall clocks agree. The
 * order is used only to prefer the newer of two processes with one name.
 */
export function newIncarnation(): IncarnationId {
    const time = Date.now().toString(36).padStart(timeDigits, "0");
    return incarnationId(`${time}-${randomBytes(randomByteCount).toString("hex")}`);
}
