/**
 * Tables of the answers of a trial, summed by side (trial or control), server group
 * and route. Tables are immutable values.
 */

import type { EvidenceCell } from "./rollout-messages.js";
import { groupCount } from "./trial-sample.js";

/** Sums over the answers of one server group on one side, for one route or for several together. */
export interface GroupEvidence {
    readonly answers: number;
    readonly failures: number;
    /** See `EvidenceCell.slownessSum`. */
    readonly slownessSum: number;
}

/** Evidence of the two sides, indexed by group. */
export interface EvidenceSides {
    readonly trial: readonly GroupEvidence[];
    readonly control: readonly GroupEvidence[];
}

/** Cells by `cellKey`. */
export type EvidenceTable = ReadonlyMap<string, EvidenceCell>;

const noEvidence: GroupEvidence = { answers: 0, failures: 0, slownessSum: 0 };

/** Returns a table with the cells added, or subtracted if `sign` is -1. */
export function addCells(table: EvidenceTable, cells: Iterable<EvidenceCell>, sign = 1): EvidenceTable {
    const sums = new Map(table);
    for (const cell of cells) {
        const key = cellKey(cell);
        sums.set(key, { ...cell, ...addEvidence(sums.get(key) ?? noEvidence, cell, sign) });
    }
    return sums;
}

/** Returns the hashes of the routes that have a cell on either side. */
export function routesOf(table: EvidenceTable): readonly number[] {
    return [...new Set([...table.values()].map(cell => cell.route))];
}

/** Returns the groups of both sides for one route, or for all routes together if `route` is undefined. */
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

/** Returns the key of a cell in an `EvidenceTable`. */
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
