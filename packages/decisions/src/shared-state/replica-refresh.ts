/**
 * When a replica of shared state is refreshed, and from where: by the box's own
 * watch of the store, by its region's relay, or by a snapshot from any box with a
 * newer copy. Each source suffices by itself; this module decides how long each one waits.
 *
 * Owns no state; the parts of the replicator call it.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { SharedKind } from "./shared-kinds.js";

/**
 * How long changes may take to arrive by ordinary propagation, before a snapshot is read from a box that has them
 * already.
 *
 * - `watch`: by the box's own watch. With 1 s, a change arrived 2.7 s late after a network partition.
 * - `relay`: from the relay that has them; its message is on the way.
 * - `otherRegion`: from the relay while only other regions have them, since a relay pauses for up to 500 ms after a
 *   change. `watch` applies instead while the store does not serve this box, and `relay` once the copies of its region
 *   are stale.
 */
const propagationTime = { watch: milliseconds(300), relay: milliseconds(100), otherRegion: milliseconds(1000) };
/**
 * How long a box without a copy waits before it reads one from another region: its own list call, or a box of its
 * region, is as fast, and traffic between regions is expensive.
 */
const firstCopyDelayFromOtherRegion = milliseconds(400);

/** What a box knows when another box turns out to have a newer copy. */
export interface SnapshotDelayInputs {
    /** The box has a copy of the kind. */
    readonly hasCopy: boolean;
    /** The box always watches the store. */
    readonly alwaysFollowsStore: boolean;
    /** The store does not answer this box. */
    readonly isStoreUnavailable: boolean;
    /** The copies of the region are older than they can be while a box of the region follows the store. */
    readonly isStale: boolean;
    /** The other box is of the same region. */
    readonly isSameRegion: boolean;
}

/**
 * Maximum delay of a message from another region, in milliseconds; it is added to the ages that the message reports.
 * Without it, ages that regions report to each other would grow by only 260 ms in 300 ms, with a message delay of 35
 * ms.
 */
export const maxInterRegionDelay = 100;

/**
 * Returns how long to wait for ordinary propagation before a snapshot is read; a box without a copy waits little or not
 * at all.
 */
export function snapshotDelay(inputs: SnapshotDelayInputs): Milliseconds {
    if (!inputs.hasCopy) {
        return inputs.isSameRegion ? milliseconds(0) : firstCopyDelayFromOtherRegion;
    }
    if (inputs.alwaysFollowsStore && !inputs.isStoreUnavailable) {
        return propagationTime.watch;
    }
    if (inputs.isSameRegion || inputs.isStale) {
        return propagationTime.relay;
    }
    return inputs.isStoreUnavailable ? propagationTime.watch : propagationTime.otherRegion;
}

/**
 * Pause after a change before the next watch: changes come in series, and each watch is a paid call. Without the pause
 * a large fleet would make several times as many calls. It counts towards the maximum propagation delay.
 */
const watchPauseAfterChange: Readonly<Record<SharedKind, Milliseconds>> = {
    configuration: milliseconds(200),
    servers: milliseconds(500),
    closedZones: milliseconds(200),
    // The outcome of a roll-out is written seconds after `running`.
    rollouts: milliseconds(200),
};
/** Changes in a row after which the pause is short, by kind: what a box learns late of a server fails requests. */
const changesWithShortPause: Readonly<Record<SharedKind, number>> = {
    configuration: 0,
    servers: 3,
    closedZones: 0,
    rollouts: 0,
};
/**
 * Short pause: merges changes of the same moment. It always follows a change by which a known server has turned cold, as
 * others of its availability zone often do so at the same time.
 */
const shortWatchPause = milliseconds(50);

/**
 * Returns the function that computes the pause after an answer of a watch of a kind with changes, at the time of the
 * answer. In the long run it allows as many watches as the pause after each change would.
 */
export function createWatchPause(kind: SharedKind): (at: Milliseconds, hasColdStart: boolean) => Milliseconds {
    const interval = watchPauseAfterChange[kind];
    const burst = changesWithShortPause[kind] * interval;
    /** Time at which the allowance for changes in a row is whole again. */
    let restoredAt = -Infinity;

    return function pauseAfter(at, hasColdStart) {
        restoredAt = Math.max(restoredAt, at) + interval;
        if (hasColdStart) {
            return shortWatchPause;
        }
        const untilAllowed = restoredAt - burst - at;
        return milliseconds(burst === 0 ? interval : Math.max(shortWatchPause, untilAllowed));
    };
}

/** First pause after a failed call. */
export const initialBackoff = milliseconds(150);
/**
 * Maximum pause in milliseconds of a box that always follows the store: pause and call together stay within the maximum
 * propagation delay.
 */
const maxBackoff = 1200;
/**
 * Maximum pause in milliseconds of a box that replaces a relay; many boxes may do so at once, and each call is paid
 * for.
 */
const maxStandInBackoff = 2500;
/** Fraction of a pause by which jitter lengthens or shortens it at most, so that boxes do not call at the same time. */
const backoffJitter = 0.3;

/** Returns the pause that follows `backoff`. */
export function nextBackoff(backoff: Milliseconds, alwaysFollowsStore: boolean): Milliseconds {
    return milliseconds(Math.min(alwaysFollowsStore ? maxBackoff : maxStandInBackoff, backoff * 2));
}

/** Returns the pause with jitter; `random` is from 0 to 1. */
export function jitteredBackoff(backoff: Milliseconds, random: number): Milliseconds {
    return milliseconds(backoff * (1 - backoffJitter + 2 * backoffJitter * random));
}
