/**
 * Detects which quota coordinators answer reports. A coordinator whose process is paused, that is cut off or that has
 * just started sends no leases, and membership detects this only after 2 to 4 s; until then the next coordinator of the
 * ranking takes over.
 *
 * Owns the time since which each box has left a report unanswered.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";

/** Failure detector for the quota coordinators, as seen by one box. */
export interface CoordinatorLiveness {
    /** A report was sent to a box. */
    readonly onReportSent: (box: BoxId, at: Milliseconds) => void;
    /** A box has sent leases. */
    readonly onLeasesReceived: (box: BoxId) => void;
    /** Returns the responsive boxes among the given ones; all of them if none is responsive. */
    readonly responsive: (coordinators: readonly BoxId[], at: Milliseconds) => readonly BoxId[];
}

/**
 * Milliseconds after which a report counts as unanswered: two rounds of messages and the round trip between regions. If
 * both coordinators of a customer are unresponsive, a third box has to take over before the burst of the last lease
 * expires.
 */
const reportTimeout = 700;
/** Milliseconds after which an unresponsive box is tried again. By then membership knows whether it has failed. */
const retryInterval = 3000;

/** Creates a detector for which every box is responsive. */
export function createCoordinatorLiveness(): CoordinatorLiveness {
    const unansweredSince = new Map<BoxId, Milliseconds>();

    return {
        onReportSent(box, at) {
            const since = unansweredSince.get(box);
            if (since === undefined || at - since >= retryInterval) {
                unansweredSince.set(box, at);
            }
        },
        onLeasesReceived(box) {
            unansweredSince.delete(box);
        },
        responsive(coordinators, at) {
            const responding = coordinators.filter(box => !isUnresponsive(box, at));
            return responding.length > 0 ? responding : coordinators;
        },
    };

    function isUnresponsive(box: BoxId, at: Milliseconds): boolean {
        const since = unansweredSince.get(box);
        return since !== undefined && at - since >= reportTimeout && at - since < retryInterval;
    }
}
