/**
 * Load of one backend server: the requests of this box, and the load from all boxes
 * that the server reported with its last answer.
 *
 * Owns this box's requests in flight and the last report.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Load that a server reported with an answer, in requests; `slots` is how many it works on at once. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Load of one server as this box estimates it. */
export interface ServerLoad {
    /** A request was sent to the server. */
    readonly onSent: () => void;
    /** A request ended, with an answer or without; `report` if the answer carried one. */
    readonly onEnded: (at: Milliseconds, report?: LoadReport) => void;
    /** The server rejected a request because it is full. */
    readonly onFull: (at: Milliseconds) => void;
    /** Requests at the server, running and waiting; `slots` is how many it works on at once. */
    readonly estimate: (at: Milliseconds, slots: number) => number;
    /** Requests of this box at the server. */
    readonly inFlight: () => number;
}

/** Milliseconds for which a report counts in full; over the same time again its weight falls to 0. */
const reportLifetime = 1000;
/** Milliseconds for which a server counts as full after it rejected a request as full. */
const fullDuration = 60;
/** Load of a full server as a multiple of its slots. */
const fullLoadFactor = 3;

/** Creates the load of an idle server. */
export function createServerLoad(): ServerLoad {
    let inFlight = 0;
    let fullUntil = 0;
    let lastReport: { readonly at: Milliseconds; readonly others: number; } | undefined;

    return {
        onSent() {
            inFlight += 1;
        },
        onEnded(at, report) {
            inFlight -= 1;
            if (report !== undefined) {
                lastReport = { at, others: Math.max(0, report.running + report.waiting - inFlight) };
            }
        },
        onFull(at) {
            fullUntil = milliseconds(at + fullDuration);
        },
        estimate(at, slots) {
            if (at < fullUntil) {
                return Math.max(inFlight, slots * fullLoadFactor);
            }
            return inFlight + othersAt(at);
        },
        inFlight: () => inFlight,
    };

    /** Requests of other boxes by the last report, weighted by its age. */
    function othersAt(at: Milliseconds): number {
        if (lastReport === undefined) {
            return 0;
        }
        const age = at - lastReport.at;
        const weight = age < reportLifetime ? 1 : Math.max(0, 2 - age / reportLifetime);
        return lastReport.others * weight;
    }
}
