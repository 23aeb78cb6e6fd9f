/**
 * What one box saw of a trial: sums by side, group of servers and route, and so
 * bounded however long it lasts.
 *
 * Owns the sums; relies on the places of servers in the trial.
 */

import { hashText } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import { addCells, cellKey, type EvidenceTable } from "./evidence.js";
import type { EvidenceCell } from "./rollout-messages.js";
import type { TrialCohort } from "./served-versions.js";

/** One answer of a server that takes part in a trial, or that it ended without. */
export interface TrialAnswer {
    readonly server: BackendServer;
    readonly routeName: string;
    /** The request ran or broke off without a success, and not for the load. */
    readonly isFailure: boolean;
    /** Time needed over time expected; see `WorkEstimate.compare`. Not read of a failure. */
    readonly slowness: number;
    /** The server was cold: its answers show nothing. */
    readonly wasCold: boolean;
}

/** Evidence of one box. */
export interface TrialEvidence {
    readonly add: (answer: TrialAnswer, place: TrialCohort) => void;
    readonly cells: () => readonly EvidenceCell[];
    readonly table: () => EvidenceTable;
}

/** Routes that are counted apart; the others count together. 8 groups on two sides and 9 routes are 144 cells at most. */
const mostRoutes = 8;
/**
 * Slowness that an answer counts for at least: what is quicker is as ordinary as this. Servers that know no keys and boxes that
 * expect too much of them are slower by a quarter at every answer, a bad version is several times slower.
 */
const leastSlowness = 1.5;
/**
 * Slowness from which an answer that has not come is told as one that took so long, and not again when it comes: the answers of
 * a slow version come late, and those that have come are the quick ones.
 */
export const earlyReportSlowness = 2;
/** Slowness that one answer counts for at most: no single one decides on a group. */
const greatestSlowness = 20;

/** Creates evidence without answers. */
export function createTrialEvidence(): TrialEvidence {
    const cells = new Map<string, EvidenceCell>();
    const routes = new Map<string, number>();

    return {
        add({ isFailure, routeName, slowness }, { group, isTrial }) {
            const name = { isTrial, group, route: routeOf(routeName) };
            const known = cells.get(cellKey(name)) ?? { ...name, answers: 0, failures: 0, slownessSum: 0 };
            const bounded = Math.min(greatestSlowness, Math.max(leastSlowness, slowness));
            cells.set(cellKey(name), {
                ...known,
                answers: known.answers + 1,
                failures: known.failures + (isFailure ? 1 : 0),
                slownessSum: known.slownessSum + (isFailure ? 0 : Math.log(bounded)),
            });
        },
        cells: () => [...cells.values()],
        table: () => addCells(new Map(), cells.values()),
    };

    /** The first routes that are seen are most likely the frequent ones. */
    function routeOf(name: string): number {
        const known = routes.get(name);
        if (known !== undefined) {
            return known;
        }
        if (routes.size >= mostRoutes) {
            return 0;
        }
        const hash = hashText(name);
        routes.set(name, hash);
        return hash;
    }
}
