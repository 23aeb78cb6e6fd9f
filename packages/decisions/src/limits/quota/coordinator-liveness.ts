/**
 * Which of the boxes that count answer reports. One that stands still, is cut off or has just started gives no
 * leases until the members know of it, 2 to 4 s later; meanwhile the next one of the ranking counts.
 *
 * Owns since when each box has left a report unanswered.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";

/** The answers of the boxes that count, as one box sees them. */
export interface CoordinatorLiveness {
    /** A report goes to a box. */
    readonly onReportSent: (box: BoxId, at: Milliseconds) => void;
    /** A box has sent leases. */
    readonly onLeasesReceived: (box: BoxId) => void;
    /** Those of the boxes that answer; all of them if none does. */
    readonly responsive: (counters: readonly BoxId[], at: Milliseconds) => readonly BoxId[];
}

/**
 * Milliseconds after which a report counts as unanswered: two rounds of messages, and the way between regions and back. A third box has to
 * take over within the time for which the burst of a lease is used, where both that count are silent.
 */
const answersWithin = 700;
/** Milliseconds after which a box that was silent is asked again: until then the members know if it has failed. */
const silentFor = 3000;

/** Creates the answers; every box counts as answering. */
export function createCoordinatorLiveness(): CoordinatorLiveness {
    const unansweredSince = new Map<BoxId, Milliseconds>();

    return {
        onReportSent(box, at) {
            const since = unansweredSince.get(box);
            if (since === undefined || at - since >= silentFor) {
                unansweredSince.set(box, at);
            }
        },
        onLeasesReceived(box) {
            unansweredSince.delete(box);
        },
        responsive(counters, at) {
            const known = counters.filter(box => !isSilent(box, at));
            return known.length > 0 ? known : counters;
        },
    };

    function isSilent(box: BoxId, at: Milliseconds): boolean {
        const since = unansweredSince.get(box);
        return since !== undefined && at - since >= answersWithin && at - since < silentFor;
    }
}
