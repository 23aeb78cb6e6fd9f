/**
 * The evidence that one box has gathered in a trial, summed by side, server group and
 * route, so that its size is bounded however long the trial lasts.
 *
 * Owns the sums. Relies on the cohorts of the servers in the trial.
 */

import { hashText } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import { addCells, cellKey, type EvidenceTable } from "./evidence.js";
import type { EvidenceCell } from "./rollout-messages.js";
import type { TrialCohort } from "./served-versions.js";

/** The outcome of one attempt at a server that takes part in a trial. */
export interface TrialAnswer {
    readonly server: BackendServer;
    readonly routeName: string;
    /** The request was processed or broken off without success, and not because of load. */
    readonly isFailure: boolean;
    /** Actual over expected time; see `WorkEstimate.slownessOf`. Ignored for failures. */
    readonly slowness: number;
    /** The server was cold when the attempt began, so its answer is no evidence. */
    readonly wasCold: boolean;
}

/** Evidence of one box. */
export interface TrialEvidence {
    readonly add: (answer: TrialAnswer, cohort: TrialCohort) => void;
    readonly cells: () => readonly EvidenceCell[];
    readonly table: () => EvidenceTable;
}

/**
 * Maximum number of routes that are counted separately; the others share one cell. 8 groups, 2 sides and 9
 * routes make 144 cells.
 */
const maxRoutes = 8;
/**
 * Minimum slowness that an answer counts with; faster answers count as equally normal. Servers that don't know
 * any keys yet, or of which a box expects too much, are slower by a quarter at every answer; a bad version is
 * several times slower.
 */
const minSlowness = 1.5;
/**
 * An answer that is still missing at this slowness is reported with it at once, and not again when it arrives.
 * The answers of a slow version arrive late, and those that have already arrived are its fast ones.
 */
export const earlyReportSlowness = 2;
/** Maximum slowness that an answer counts with, so that no single answer decides on a group. */
const maxSlowness = 20;

/** Creates empty evidence. */
export function createTrialEvidence(): TrialEvidence {
    const cells = new Map<string, EvidenceCell>();
    const routes = new Map<string, number>();

    return {
        add({ isFailure, routeName, slowness }, { group, isTrial }) {
            const key = { isTrial, group, route: routeOf(routeName) };
            const known = cells.get(cellKey(key)) ?? { ...key, answers: 0, failures: 0, slownessSum: 0 };
            const bounded = Math.min(maxSlowness, Math.max(minSlowness, slowness));
            cells.set(cellKey(key), {
                ...known,
                answers: known.answers + 1,
                failures: known.failures + (isFailure ? 1 : 0),
                slownessSum: known.slownessSum + (isFailure ? 0 : Math.log(bounded)),
            });
        },
        cells: () => [...cells.values()],
        table: () => addCells(new Map(), cells.values()),
    };

    /** Counts the first routes separately, since these are most likely the frequent ones. */
    function routeOf(name: string): number {
        const known = routes.get(name);
        if (known !== undefined) {
            return known;
        }
        if (routes.size >= maxRoutes) {
            return 0;
        }
        const hash = hashText(name);
        routes.set(name, hash);
        return hash;
    }
}
