/**
 * When a copy of shared state is refreshed, and from where: by the box's own
 * watch of the store, by its region's relay, or by a snapshot of any box that
 * knows more. Every source suffices; this module only says which one waits how long.
 *
 * Owns no state; the replicator's parts ask it.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { SharedKind } from "./shared-kinds.js";

/**
 * Milliseconds that changes have to come by the ordinary way, before a snapshot is read from a box that knows them already.
 *
 * - `watch`: by the box's own watch. 1 s left a change 2.7 s late after a cut.
 * - `relay`: from the relay that knows of them; its message is on the way.
 * - `otherRegion`: from the relay while only other regions know of them, since a relay pauses for up to 500 ms after a change.
 *   While the store turns this box away, the time of `watch` holds; once the own region's copies are overdue, that of `relay`.
 */
const headStart = { watch: milliseconds(300), relay: milliseconds(100), otherRegion: milliseconds(1000) };
/**
 * Milliseconds that a box without a copy waits before it reads one from another region: its own list, or a box of its region, is
 * as quick, and bytes between regions are dear.
 */
const firstCopyFromOtherRegion = milliseconds(400);

/** What a box knows when another one's copy turns out to hold more. */
export interface SnapshotDelayInputs {
    /** The box has a copy of the kind. */
    readonly hasCopy: boolean;
    /** The box always watches the store. */
    readonly alwaysFollowsStore: boolean;
    /** The store does not answer this box. */
    readonly isStoreUnavailable: boolean;
    /** No box of the region has told of its copies for longer than one that follows the store would take. */
    readonly isStale: boolean;
    /** The other box is of the same region. */
    readonly isSameRegion: boolean;
}

/**
 * Milliseconds that a message from another region is on its way at most; an age that it tells is so much older. Without it, ages
 * that were told to and fro between regions grew by 260 ms in 300 ms (computed, for a way of 35 ms).
 */
export const maxInterRegionDelay = 100;

/** Returns how long changes may take by the ordinary way; a box that has no copy at all hardly waits. */
export function snapshotDelay(inputs: SnapshotDelayInputs): Milliseconds {
    if (!inputs.hasCopy) {
        return inputs.isSameRegion ? milliseconds(0) : firstCopyFromOtherRegion;
    }
    if (inputs.alwaysFollowsStore && !inputs.isStoreUnavailable) {
        return headStart.watch;
    }
    if (inputs.isSameRegion || inputs.isStale) {
        return headStart.relay;
    }
    return inputs.isStoreUnavailable ? headStart.watch : headStart.otherRegion;
}

/**
 * Pause after a change before the next watch, in milliseconds: changes come in series, and each watch is a priced call.
 * It counts towards the time in which a change must be in force. Without it a large
 * fleet would make several times as many calls.
 */
export const watchPauseAfterChange: Readonly<Record<SharedKind, Milliseconds>> = {
    configuration: milliseconds(200),
    servers: milliseconds(500),
    closedZones: milliseconds(200),
    // The write of an outcome follows seconds after that of `running`.
    rollouts: milliseconds(200),
};

/** First pause after a call that failed. */
export const initialBackoff = milliseconds(150);
/** Longest pause of a box that always follows the store: within the bound on changes with a call of its own time. */
const longestBackoff = 1200;
/** Longest pause of a box that stands in for a relay; many may stand in at once, and each call is paid for. */
const longestStandInBackoff = 2500;
/** Chance adds up to this part to a pause or takes it away, so that boxes do not call in step. */
const backoffSpread = 0.3;

/** Returns the pause after the one given. */
export function nextBackoff(backoff: Milliseconds, alwaysFollows: boolean): Milliseconds {
    return milliseconds(Math.min(alwaysFollows ? longestBackoff : longestStandInBackoff, backoff * 2));
}

/** Returns how long to wait for a pause; `chance` is from 0 to 1. */
export function jitteredBackoff(backoff: Milliseconds, chance: number): Milliseconds {
    return milliseconds(backoff * (1 - backoffSpread + 2 * backoffSpread * chance));
}
