/**
 * What a box sheds when it holds too many requests, and in which order.
 *
 * Services of low priority are refused first: a service may fill the box to a
 * part of its limit that grows with its priority. A refusal is answered at
 * once with a time to come back that grows with the excess.
 */

import { type Milliseconds, milliseconds } from "../kernel/ids.js";
import { Err, Ok, type Result } from "../kernel/result.js";

/** The greatest priority a service can have. */
export const highestPriority = 9;
/** Part of the limit that a service of priority 0 may fill. */
const lowestPart = 0.7;
const shortestWait = 100;
const longestWait = 5000;

/** A refusal, with the time to come back. */
export interface Shed {
    readonly retryAfter: Milliseconds;
}

/** Returns whether a request may enter a box that holds `inFlight` requests. */
export function admitByPriority(inFlight: number, limit: number, priority: number): Result<void, Shed> {
    const part = lowestPart + (1 - lowestPart) * Math.min(priority, highestPriority) / highestPriority;
    const allowed = Math.max(1, limit * part);
    if (inFlight < allowed) {
        return Ok(undefined);
    }
    const excess = inFlight / allowed;
    return Err({ retryAfter: milliseconds(Math.min(longestWait, shortestWait * excess * excess)) });
}
