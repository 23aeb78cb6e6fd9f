/**
 * Load of one backend server: what this box has sent there, and what the server
 * said with its last answer about all boxes together.
 *
 * Owns this box's requests in flight and the last report.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Load that a server reported with an answer. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Load of one server as far as this box knows. */
export interface ServerLoad {
    readonly onSent: () => void;
    /** A request ended in any way; `report` if the answer had one. */
    readonly onEnded: (at: Milliseconds, report?: LoadReport) => void;
    /** The server refused a request since it is full. */
    readonly onFull: (at: Milliseconds) => void;
    /** Requests at the server, running and waiting. `slots` is what it works on at once. */
    readonly estimate: (at: Milliseconds, slots: number) => number;
    /** Requests of this box that are at the server. */
    readonly inFlight: () => number;
}

/** Milliseconds for which a report counts in full; it fades over the same time again. */
const reportLifetime = 1000;
/** Milliseconds for which a refusal as full counts as this many times the slots. */
const fullPause = 60;
/** Times the slots that a server counts as loaded with after it refused as full. */
const fullFactor = 3;

/** Creates the load of an idle server. */
export function createServerLoad(): ServerLoad {
    let inFlight = 0;
    let fullUntil = 0;
    let last: { readonly at: Milliseconds; readonly others: number; } | undefined;

    return {
        onSent() {
            inFlight += 1;
        },
        onEnded(at, report) {
            inFlight -= 1;
            if (report !== undefined) {
                last = { at, others: Math.max(0, report.running + report.waiting - inFlight) };
            }
        },
        onFull(at) {
            fullUntil = milliseconds(at + fullPause);
        },
        estimate(at, slots) {
            if (at < fullUntil) {
                return Math.max(inFlight, slots * fullFactor);
            }
            return inFlight + othersAt(at);
        },
        inFlight: () => inFlight,
    };

    /** Requests of other boxes, by the last report. */
    function othersAt(at: Milliseconds): number {
        if (last === undefined) {
            return 0;
        }
        const age = at - last.at;
        const weight = age < reportLifetime ? 1 : Math.max(0, 2 - age / reportLifetime);
        return last.others * weight;
    }
}
