/**
 * Sums of the answers of a trial, by side, group of servers and route.
 *
 * Owns nothing; the tables are values.
 */

import type { EvidenceCell } from "./rollout-messages.js";
import { groupCount } from "./trial-sample.js";

/** Answers of one group of servers on one side, of one route or of several together. */
export interface GroupEvidence {
    readonly answers: number;
    readonly failures: number;
    /** See `EvidenceCell.slownessSum`. */
    readonly slownessSum: number;
}

/** Evidence of the two sides, by group. */
export interface EvidenceSides {
    readonly trial: readonly GroupEvidence[];
    readonly control: readonly GroupEvidence[];
}

/** Sums of cells by what they count. */
export type EvidenceTable = ReadonlyMap<string, EvidenceCell>;

/** Nothing answered yet. */
const noEvidence: GroupEvidence = { answers: 0, failures: 0, slownessSum: 0 };

/** Returns a table with the cells added, `sign` -1 takes them away. */
export function addCells(table: EvidenceTable, cells: Iterable<EvidenceCell>, sign = 1): EvidenceTable {
    const sums = new Map(table);
    for (const cell of cells) {
        const name = cellKey(cell);
        sums.set(name, { ...cell, ...addEvidence(sums.get(name) ?? noEvidence, cell, sign) });
    }
    return sums;
}

/** Returns the routes that have an answer on either side. */
export function routesOf(table: EvidenceTable): readonly number[] {
    return [...new Set([...table.values()].map(cell => cell.route))];
}

/** Returns the groups of both sides for one route, or for all together. */
export function sidesOf(table: EvidenceTable, route: number | undefined): EvidenceSides {
    const trial = new Array<GroupEvidence>(groupCount).fill(noEvidence);
    const control = new Array<GroupEvidence>(groupCount).fill(noEvidence);
    for (const cell of table.values()) {
        if (route === undefined || cell.route === route) {
            const side = cell.isTrial ? trial : control;
            side[cell.group] = addEvidence(side[cell.group], cell, 1);
        }
    }
    return { trial, control };
}

/** Name of what a cell counts. */
export function cellKey({ group, isTrial, route }: Pick<EvidenceCell, "group" | "isTrial" | "route">): string {
    return `${isTrial ? "trial" : "control"} ${group} ${route}`;
}

function addEvidence(sum: GroupEvidence, added: GroupEvidence, sign: number): GroupEvidence {
    return {
        answers: sum.answers + sign * added.answers,
        failures: sum.failures + sign * added.failures,
        slownessSum: sum.slownessSum + sign * added.slownessSum,
    };
}
